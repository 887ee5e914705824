// Package wire defines the frames between routers and the messages that they carry. Messages are encoded as msgpack arrays, so the order
// of struct fields and of constants is part of the wire format.
package wire
