// Package certificates creates a certificate authority and router certificates in memory, for trials and tests.
package certificates
