// Package embedded runs a small deployment in one process: a simulated platform and routers on loopback.
package embedded
