// Package upstream is an HTTP/1.1 client for engines. It pools connections, matches answers to requests by their ids, and reports
// whether a failed request may have run.
package upstream
