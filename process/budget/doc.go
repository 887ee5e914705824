// Package budget limits the control traffic that one router sends, by priority.
package budget
