// Package entry runs one instance of the fleet on the users' platform: it serves callers, and shares with its peers what one of them has read of the platform's store.
package entry
