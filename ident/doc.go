// Package ident holds the named types for the identifiers that travel between routers, engines and callers.
package ident
