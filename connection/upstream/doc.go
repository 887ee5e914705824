// Package upstream sends HTTP/1.1 requests to engines, over kept connections, and matches answers to requests by their ids.
package upstream
