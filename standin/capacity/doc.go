// Package capacity calculates the cost of each role of a router at the target size from recorded slopes.
package capacity
