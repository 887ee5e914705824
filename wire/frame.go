package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxBodyBytes is the largest body of a frame. Larger frames are refused.
	MaxBodyBytes = 16 << 20
	// HeaderBytes is the size of the header of a frame: its body's length, its kind and its stream.
	HeaderBytes = 4 + 1 + 8
)

// Kinds of frame. Their order is part of the wire format.
const (
	KindHello Kind = iota + 1
	KindSubmit
	KindEvents
	KindEnd
	KindAck
	KindCancel
	KindGossip
	KindGossipReply
	KindCall
	KindReply
	// KindSilent has no message. It says that the engine of a stream has been silent for too long.
	KindSilent
	kindLimit
)

type (
	// Kind identifies the message that a frame carries.
	Kind uint8

	// Frame is one message of a stream on a connection. Stream is 0 if it belongs to none.
	Frame struct {
		Kind   Kind
		Stream uint64
		Body   []byte
	}

	// FrameError is returned for a header with an unknown kind or a body that is too large.
	FrameError struct {
		Length uint32
		Kind   Kind
	}
)

// Error returns the message with the kind and the length.
func (e *FrameError) Error() string {
	return fmt.Sprintf("refused frame of kind %d with %d bytes", e.Kind, e.Length)
}

// Write writes the frame. It fails with the writer's error.
func Write(w io.Writer, f Frame) error {
	var header [HeaderBytes]byte
	binary.BigEndian.PutUint32(header[0:4], uint32(len(f.Body)))
	header[4] = byte(f.Kind)
	binary.BigEndian.PutUint64(header[5:], f.Stream)
	if _, err := w.Write(header[:]); err != nil {
		return errors.Wrap(err, "write frame header")
	}
	if _, err := w.Write(f.Body); err != nil {
		return errors.Wrap(err, "write frame body")
	}
	return nil
}

// Read reads one frame. It fails with *FrameError on an unknown kind or a body over MaxBodyBytes, or with the reader's error.
func Read(r io.Reader) (Frame, error) { return ReadUpTo(r, MaxBodyBytes) }

// ReadUpTo reads one frame. It fails with *FrameError on an unknown kind or a body over maxBytes, or with the reader's error.
func ReadUpTo(r io.Reader, maxBytes uint32) (Frame, error) {
	return ReadReserved(r, maxBytes, func(int64) error { return nil })
}

// ReadReserved reads one frame like ReadUpTo, and calls reserve with the size of the body before it takes memory for it. It also fails with the error of reserve.
func ReadReserved(r io.Reader, maxBytes uint32, reserve func(bytes int64) error) (Frame, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[0:4])
	kind := Kind(header[4])
	if length > maxBytes || kind == 0 || kind >= kindLimit {
		return Frame{}, &FrameError{Length: length, Kind: kind}
	}
	if err := reserve(int64(length)); err != nil {
		return Frame{}, err
	}
	f := Frame{Kind: kind, Stream: binary.BigEndian.Uint64(header[5:]), Body: make([]byte, length)}
	if _, err := io.ReadFull(r, f.Body); err != nil {
		return Frame{}, errors.Wrap(err, "read frame body")
	}
	return f, nil
}

// Encode returns the message as msgpack, with each struct as an array of its fields without their names. It panics on a type that
// msgpack cannot encode.
func Encode[M any](message M) []byte {
	var body bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&body)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		panic(errors.Wrapf(err, "encode %T", message))
	}
	return body.Bytes()
}

// Decode decodes a message from msgpack. It fails on malformed input.
func Decode[M any](body []byte) (M, error) {
	message, _, err := DecodeFirst[M](body)
	return message, err
}

// DecodeFirst decodes the first of several messages from msgpack, and returns the bytes after it. It fails on malformed input.
func DecodeFirst[M any](body []byte) (message M, rest []byte, err error) {
	reader := bytes.NewReader(body)
	if err := msgpack.NewDecoder(reader).Decode(&message); err != nil {
		return message, nil, errors.Wrapf(err, "decode %T", message)
	}
	return message, body[len(body)-reader.Len():], nil
}
