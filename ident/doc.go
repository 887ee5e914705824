// Package ident defines types for the identifiers that routers, engines and callers exchange.
package ident
