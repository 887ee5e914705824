// Package idle ends callers' connections that wait for a request, and never one of which a request has begun to arrive.
package idle
