// Package queue orders the requests that wait for an engine: short requests before long ones, and fairly between organisations.
package queue
