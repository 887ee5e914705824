// Package measure measures the cost of one unit of load at a router, as the slope of a line fitted over several sizes.
package measure
