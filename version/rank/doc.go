// Package rank orders members for a key by weighted rendezvous hashing.
package rank
