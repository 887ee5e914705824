// Package certificates makes an authority and routers' certificates in memory, for trials and tests.
package certificates
