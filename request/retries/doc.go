// Package retries decides whether a request may be sent once more, within a budget that all instances of the fleet share.
package retries
