// Package idle keeps the connections of a server within limits. It closes idle connections, incomplete heads and silent readers, but never a connection
// on which a complete request has arrived.
package idle
