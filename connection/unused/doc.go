// Package unused keeps the callers' connections on which no request has come yet, so that a stop need not wait for them.
package unused
