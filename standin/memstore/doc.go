// Package memstore is an in-memory implementation of the platform's store for tests, with injectable faults.
package memstore
