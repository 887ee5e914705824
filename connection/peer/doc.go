// Package peer multiplexes streams of frames between routers over one TCP connection per pair and direction.
package peer
