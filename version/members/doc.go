// Package members tracks which instances of the fleet are alive, from their own heartbeats and from the observations of other instances.
package members
