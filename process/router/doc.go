// Package router wires one router process together and runs its tasks from start to graceful shutdown.
package router
