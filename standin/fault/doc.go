// Package fault provides fault injection for the simulated servers.
package fault
