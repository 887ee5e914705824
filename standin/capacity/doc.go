// Package capacity works out what each role of a router costs at the target size from recorded slopes.
package capacity
