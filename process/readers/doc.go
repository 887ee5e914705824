// Package readers decides which instances read the platform's store for all.
package readers
