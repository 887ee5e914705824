// Package rawhttp is an HTTP/1.1 server that answers with given bytes, which need not be a response.
package rawhttp
