// Package store speaks to the platform's key-value service by the etcd v3 JSON gateway.
package store
