// Package engine speaks to one model engine over HTTP: OpenAI-compatible streams, resume, cancel and load reports.
package engine
