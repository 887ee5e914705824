// Package caller is a client for routers: it looks up router addresses, fails over to another router and resumes streams.
package caller
