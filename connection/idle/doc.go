// Package idle closes callers' idle connections at a limit or at shutdown, but never a connection on which a request has begun to arrive.
package idle
