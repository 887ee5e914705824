// Package wire defines the frames between routers and the messages that they carry, encoded as msgpack.
package wire
