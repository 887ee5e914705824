// Package soak runs entry instances as processes of their own, injects faults from outside them by a seeded schedule, and checks the promises from what callers and engines see.
package soak
