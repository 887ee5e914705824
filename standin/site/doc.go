// Package site runs the simulated platform of a small deployment on loopback: engines, instances of the booking service, the
// key-value service and the list of instances.
package site
