// Package store defines the interface of the key-value service with leases and transactions that the routers use.
package store
