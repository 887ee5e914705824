// Package caller is a client that asks routers for their addresses, moves on when one fails, and resumes streams.
package caller
