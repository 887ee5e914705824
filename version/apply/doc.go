// Package apply commits an operator's edited lists to the store entry by entry, by compare-and-swap.
package apply
