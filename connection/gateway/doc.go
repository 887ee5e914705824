// Package gateway implements store.Store with the etcd v3 JSON gateway.
package gateway
