package forward

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/sizelimit"
)

const (
	// maxAnswerBytes bounds an answer that is held in memory until it is complete, and maxBufferedBytes all such answers that are being read.
	maxAnswerBytes   = 8 << 20
	maxBufferedBytes = 32 << 20
	// readChunkBytes is the size of the reads of an answer.
	readChunkBytes = 16 << 10
)

// answerBuffers reads answers into memory within common bounds. It is safe for concurrent use.
type answerBuffers struct{ bytes atomic.Int64 }

// read reads an answer to its end. It fails with *sizelimit.Error if the answer, or all answers together, exceed their bounds. The caller
// releases the bytes that it returns, also with an error.
func (a *answerBuffers) read(from io.Reader) ([]byte, error) {
	var body bytes.Buffer
	for {
		n, err := io.CopyN(&body, from, readChunkBytes)
		total := a.bytes.Add(n)
		switch {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return body.Bytes(), err
		case body.Len() > maxAnswerBytes:
			return body.Bytes(), &sizelimit.Error{MaxBytes: maxAnswerBytes}
		case total > maxBufferedBytes:
			return body.Bytes(), &sizelimit.Error{MaxBytes: maxBufferedBytes}
		}
	}
}

// release ends the count of the bytes of an answer.
func (a *answerBuffers) release(body []byte) { a.bytes.Add(-int64(len(body))) }
