// Package apply commits an operator's edited lists to the store by compare-and-swap on the revision of each entry.
package apply
