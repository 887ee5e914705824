// Package engines holds the engines as they are registered with the platform.
package engines
