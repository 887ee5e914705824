// Package router assembles one router process and runs its tasks from start to graceful shutdown.
package router
