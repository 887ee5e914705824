// Package readers decides which instances read the platform's store on behalf of the fleet.
package readers
