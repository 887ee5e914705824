// Package engine simulates a model engine with batching slots, a prefix cache, delayed load reports and injectable faults.
package engine
