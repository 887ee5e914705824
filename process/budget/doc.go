// Package budget limits the control traffic that one router sends, with a reserve for the more important kinds.
package budget
