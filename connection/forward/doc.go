// Package forward is the reverse proxy of an instance: it admits a caller's request, sends it to an engine and relays the answer.
package forward
