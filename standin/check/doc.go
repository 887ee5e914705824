// Package check judges a deployment from the callers' ends and the stand-ins' logs alone.
package check
