// Package embedded runs a whole small deployment in one process: stand-ins and routers on loopback.
package embedded
