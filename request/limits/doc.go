// Package limits holds each organisation to its allowance over the whole fleet, by shares that its home router lends.
package limits
