// Package check verifies a deployment from the outside, by the clients' answers and the logs of the simulated servers.
package check
