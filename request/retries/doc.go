// Package retries limits retries to a budget that all instances of the fleet share.
package retries
