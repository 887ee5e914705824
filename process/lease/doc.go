// Package lease holds a key of the platform's store for as long as its lease is renewed.
package lease
