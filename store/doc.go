// Package store says what the routers use of a key-value service with leases and transactions.
package store
