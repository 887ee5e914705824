// Package measure measures what one unit of load costs a router, as slopes over several sizes.
package measure
