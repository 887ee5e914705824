// Package check examines a configuration before it is sent: entries that can never match, limits that contradict each other, and what changes
// for callers and organisations. It never returns keys.
package check
