// Package placing chooses the engine of a request by what engines hold of its prompt, by their load and by their failures.
package placing
