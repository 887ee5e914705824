// Package kv simulates the platform's key-value service (etcd v3 JSON gateway) in memory, with injectable faults.
package kv
