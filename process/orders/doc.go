// Package orders decides which engine loads which model, and sends the orders. Only the router that holds a lease sends them, with the
// fencing number of the lease.
package orders
