// Package memstore is a store in memory that behaves as the platform's does, with faults to switch on.
package memstore
