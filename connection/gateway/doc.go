// Package gateway speaks to a key-value service by the etcd v3 JSON gateway.
package gateway
