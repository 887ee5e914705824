// Package decay counts events with exponentially decaying weight.
package decay
