// Package lists holds the operators' two lists, the customers' plans and what each plan may use, and checks them.
package lists
