// Package replay drives recorded traces at real addresses with open-loop arrivals and judges every stated outcome.
package replay
