// Package forward serves callers' requests by sending each to an engine and passing the answer back.
package forward
