// Package fault holds what the stand-ins share for failing on request.
package fault
