// Package lists defines and validates the operators' two lists: the plan of each organisation, and the allowance of each plan.
package lists
