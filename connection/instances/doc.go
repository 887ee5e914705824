// Package instances reads the platform's lagging list of live and leaving instances.
package instances
