// Package home queues and runs the requests of the engines whose home this router is, and monitors these engines.
package home
