// Package mirror keeps a replica of the store's entries together with the time at which it was last proven to be current.
package mirror
