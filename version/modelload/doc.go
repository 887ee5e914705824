// Package modelload keeps the load of each model as the routers report it, from which the mean load of an engine follows.
package modelload
