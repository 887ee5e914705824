// Package queue orders the requests that wait for one engine: short work before long, fair between organisations.
package queue
