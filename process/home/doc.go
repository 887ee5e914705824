// Package home runs the requests of the engines whose home this router is: it counts, queues, runs and watches them.
package home
