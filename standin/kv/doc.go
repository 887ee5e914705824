// Package kv is a small stand-in for the platform's key-value service, with faults to switch on.
package kv
