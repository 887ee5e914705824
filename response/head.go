package response

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/vanillaroute/vanillaroute/sizelimit"
	"golang.org/x/net/http/httpguts"
)

type (
	// MalformedError is returned for a response that deviates from the grammar of HTTP/1.1. Nothing in such a response can be relied upon.
	MalformedError struct{ Reason string }

	// head checks the head of a response as its bytes arrive. The zero value expects a status line.
	head struct {
		// line is the beginning of a line that has not arrived completely.
		line []byte
		// size is the number of bytes so far.
		size int
		// status is the status code, or 0 before the status line.
		status int
		// isHTTP10 says that the version is HTTP/1.0.
		isHTTP10 bool
		// hasCoding says that there is a Transfer-Encoding, and length is the last Content-Length, or empty.
		hasCoding bool
		length    string
	}
)

// Error returns the message with the reason.
func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

// read checks the next bytes and reports how many of them belong to the head, and whether it is complete. It fails with *MalformedError, or with
// *sizelimit.Error if the head is too long.
func (h *head) read(data []byte) (n int, complete bool, err error) {
	for n < len(data) {
		end := bytes.IndexByte(data[n:], '\n') + 1
		if end == 0 {
			end = len(data) - n
		}
		h.line = append(h.line, data[n:n+end]...)
		n, h.size = n+end, h.size+end
		if h.size > sizelimit.MaxHeadBytes {
			return n, false, &sizelimit.Error{MaxBytes: sizelimit.MaxHeadBytes}
		}
		if h.line[len(h.line)-1] != '\n' {
			return n, false, nil
		}
		// A bare line feed could be a part of a name, so it ends no line although RFC 9112 allows recipients to accept it.
		line, ok := strings.CutSuffix(string(h.line), "\r\n")
		h.line = h.line[:0]
		switch {
		case !ok:
			return n, false, &MalformedError{"a line ends without a carriage return"}
		case h.status == 0:
			err = h.readStatusLine(line)
		case line == "":
			return n, true, h.checkFraming()
		default:
			err = h.readField(line)
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// isInterim reports whether another response to the same request follows a complete head.
func (h *head) isInterim() bool { return h.status < http.StatusOK }

// readStatusLine reads the version and the status code. More than one space between them, and none after the code, are accepted as RFC 9112 allows.
func (h *head) readStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return &MalformedError{"the version is not HTTP/1"}
	}
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return &MalformedError{"the status is not between 100 and 599"}
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return &MalformedError{"the reason phrase has a control character"}
	}
	h.isHTTP10 = minor == "0"
	var err error
	h.status, err = strconv.Atoi(code)
	return err
}

// readField reads a field line. A line that begins with a blank is rejected: it may be a folded value, or a field whose name begins with a blank.
func (h *head) readField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return &MalformedError{"a field line has no colon"}
	}
	if err := checkField(name, value); err != nil {
		return err
	}
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.hasCoding = true
	case strings.EqualFold(name, "Content-Length"):
		h.length = strings.Trim(value, " \t")
	}
	return nil
}

// checkFraming checks what net/http does not about the fields that delimit the body.
func (h *head) checkFraming() error {
	switch {
	case h.status == http.StatusSwitchingProtocols:
		return &MalformedError{"the protocol is switched without a request for it"}
	case h.hasCoding && h.length != "":
		return &MalformedError{"there are both a Transfer-Encoding and a Content-Length"}
	case h.hasCoding && h.isHTTP10:
		return &MalformedError{"there is a Transfer-Encoding in HTTP/1.0"}
	case (h.isInterim() || h.status == http.StatusNoContent) && (h.hasCoding || strings.Trim(h.length, "0") != ""):
		return &MalformedError{"there is a body after a status that has none"}
	}
	return nil
}

// checkField checks the name and the value of a field.
func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return &MalformedError{"the name of a field is not a token"}
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return &MalformedError{"the value of a field has a control character"}
	}
	return nil
}

// checkTrailer checks the fields that follow a body in chunks.
func checkTrailer(trailer http.Header) error {
	for name, values := range trailer {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
