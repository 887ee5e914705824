// Package heartbeat exchanges heartbeats between the instances of the fleet in UDP datagrams. Replies too large for a datagram are
// fetched over TCP.
package heartbeat
