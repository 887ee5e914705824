// Package modelload keeps the load of each model as the routers report it, and derives the bound on the load of one engine from the mean.
package modelload
