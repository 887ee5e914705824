// Package sizelimit bounds the bytes that are read from a peer, and fails where io.LimitReader would end like a complete message. It also bounds
// the bytes that many messages take together.
package sizelimit
