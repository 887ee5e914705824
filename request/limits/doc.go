// Package limits enforces the allowance of each organisation over the whole fleet. The home router of an organisation allocates shares of
// the allowance to the other routers.
package limits
