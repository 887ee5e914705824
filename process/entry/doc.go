// Package entry runs one instance of the fleet on the users' platform. The instance serves callers, and replicates the platform's store
// through its peers, so that only a few instances read it.
package entry
