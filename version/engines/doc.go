// Package engines holds the engines registered with the platform.
package engines
