// Package experiment compares the routers with simple policies on the same traces. It evaluates the results of the clients and the
// logs of the simulated engines.
package experiment
