package sizelimit

import (
	"fmt"
	"io"
)

// MaxHeadBytes bounds the head of an answer that this project's clients accept.
const MaxHeadBytes = 64 << 10

type (
	// Error is returned if a peer sends more bytes than it may.
	Error struct{ MaxBytes int64 }

	// Reader reads from an io.Reader and fails with *Error once a number of bytes has been read. The zero value allows none.
	Reader struct {
		io.Reader
		maxBytes, left int64
	}
)

// Error returns the message with the bound.
func (e *Error) Error() string { return fmt.Sprintf("more than %d bytes", e.MaxBytes) }

// Allow allows maxBytes to be read from now on.
func (r *Reader) Allow(maxBytes int64) { r.maxBytes, r.left = maxBytes, maxBytes }

// Read reads at most as many bytes as are allowed. It fails with *Error if no more are.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, &Error{MaxBytes: r.maxBytes}
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// ReadAll reads to the end of from. It fails with *Error if there are more than maxBytes.
func ReadAll(from io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(from, maxBytes+1))
	if err == nil && int64(len(data)) > maxBytes {
		return nil, &Error{MaxBytes: maxBytes}
	}
	return data, err
}
