// Package heartbeat carries heartbeats between the instances of the fleet in datagrams, and what does not fit into one over TCP.
package heartbeat
