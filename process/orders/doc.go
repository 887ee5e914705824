// Package orders decides which engine loads which model, and orders it under a lease with a fencing number.
package orders
