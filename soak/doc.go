// Package soak runs entry instances as separate processes, injects faults from outside with a seeded schedule, and checks
// the guarantees of the fleet from the results of callers and engines.
package soak
