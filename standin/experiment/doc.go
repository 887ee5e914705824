// Package experiment compares the routers with simple policies on the same traces, and judges from the stand-ins' logs.
package experiment
