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
	// MaxBodyBytes is the size above which a frame is refused.
	MaxBodyBytes = 16 << 20
	// HeaderBytes is the size of length, kind and stream before each body.
	HeaderBytes = 4 + 1 + 8
)

// Kinds of frame.
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
	kindLimit
)

type (
	// Kind says which message a frame carries.
	Kind uint8

	// Frame is one message of one stream of a connection.
	Frame struct {
		Kind   Kind
		Stream uint64
		Body   []byte
	}

	// FrameError says why bytes are not a frame.
	FrameError struct {
		Length uint32
		Kind   Kind
	}
)

// Error names the length and kind that were refused.
func (e *FrameError) Error() string {
	return fmt.Sprintf("refused frame of kind %d with %d bytes", e.Kind, e.Length)
}

// Write writes the frame, and returns the writer's error.
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

// Read reads one frame, and fails with a *FrameError on a kind or size that is not allowed.
func Read(r io.Reader) (Frame, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[0:4])
	kind := Kind(header[4])
	if length > MaxBodyBytes || kind == 0 || kind >= kindLimit {
		return Frame{}, &FrameError{Length: length, Kind: kind}
	}
	f := Frame{Kind: kind, Stream: binary.BigEndian.Uint64(header[5:]), Body: make([]byte, length)}
	if _, err := io.ReadFull(r, f.Body); err != nil {
		return Frame{}, errors.Wrap(err, "read frame body")
	}
	return f, nil
}

// Encode returns the message as msgpack, in which a struct is the array of its fields without their names.
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

// Decode reads a message from msgpack, and fails on anything else.
func Decode[M any](body []byte) (M, error) {
	var message M
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return message, errors.Wrapf(err, "decode %T", message)
	}
	return message, nil
}
