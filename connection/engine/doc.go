// Package engine is an HTTP client for one model engine: OpenAI-compatible streams, resume, cancel, orders and load reports.
package engine
