// Package relay streams the answer to a chat request from an engine to the caller, with retries, resumption and hedging.
package relay
