// Package placing chooses the engine of a request by cached parts of its prompt, load and failures.
package placing
