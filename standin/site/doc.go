// Package site runs all stand-ins of a small deployment on loopback: engines, desk services, the key-value service and the list of instances.
package site
