// Package lease holds a key of the platform's store while its lease is renewed, so that only one router holds it at a time.
package lease
