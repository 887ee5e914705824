// Package instances reads the platform's list of live and leaving instances, which lags behind their actual state.
package instances
