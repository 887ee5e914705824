// Package peer carries streams of frames between routers over one TCP connection for each pair and direction.
package peer
