// Package mirror keeps a replica of the store's entries and the time at which it was last confirmed to be current.
package mirror
