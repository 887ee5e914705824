// Package budget bounds the control traffic that a router sends, by priority.
package budget
