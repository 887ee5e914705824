// Package service is an HTTP client for plain services. Its errors distinguish calls that did not run from calls that may have run.
package service
