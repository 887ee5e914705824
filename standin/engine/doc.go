// Package engine is a small stand-in for a model engine: batching slots, a prefix cache, late reports, and faults to switch on.
package engine
