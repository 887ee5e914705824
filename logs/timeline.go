package logs

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLine is the maximum length of a log line in bytes.
	maxLine = 1 << 20
	// These fields are not among a line's Fields: a timeline shows them in front of the others or omits them.
	fieldTime, fieldLevel, fieldMessage, fieldInstance, fieldRequest, fieldLogger = "ts", "level", "msg", "instance", "request", "logger"
)

type (
	// Line is one log line. Lines about a request each describe one decision.
	Line struct {
		At       time.Time
		Instance string
		Level    string
		Message  string
		Fields   []Field
	}

	// Field is one input of a decision.
	Field struct {
		Name  string
		Value any
	}

	// NotLogError means that a file contains no log line.
	NotLogError struct{ File string }

	// UnknownRequestError means that none of the log lines read is about the request.
	UnknownRequestError struct {
		Request string
		Lines   int
	}
)

// Error returns a message that includes the file.
func (e *NotLogError) Error() string { return e.File + ": file contains no log line" }

// Error returns a message that includes the request and the number of lines read.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("none of %d log lines is about request %q", e.Lines, e.Request)
}

// Timeline holds the lines about one request from one or more logs.
type Timeline struct {
	request   string
	lines     []Line
	linesRead int
}

// NewTimeline returns an empty timeline of a request.
func NewTimeline(request string) *Timeline { return &Timeline{request: request} }

// Read adds the lines of a log about the request. It ignores text before the JSON of a line. It returns *NotLogError if
// the log contains no log line.
func (t *Timeline) Read(file string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	found := 0
	for scanner.Scan() {
		line, request, ok := parseLine(scanner.Bytes())
		if !ok {
			continue
		}
		found++
		if request == t.request {
			t.lines = append(t.lines, line)
		}
	}
	t.linesRead += found
	if err := scanner.Err(); err != nil {
		return errors.Wrapf(err, "read %s", file)
	}
	if found == 0 {
		return &NotLogError{File: file}
	}
	return nil
}

// ReadFile does the same as Read for a file.
func (t *Timeline) ReadFile(name string) error {
	f, err := os.Open(filepath.Clean(name))
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	return t.Read(name, f)
}

// Lines returns the lines in order of time. It returns *UnknownRequestError if there are none.
func (t *Timeline) Lines() ([]Line, error) {
	if len(t.lines) == 0 {
		return nil, &UnknownRequestError{Request: t.request, Lines: t.linesRead}
	}
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return t.lines, nil
}

// String returns the line as one line of text, with its time in milliseconds since start.
func (l Line) String(start time.Time) string {
	text := fmt.Sprintf("%+9.1f ms  %s  %s", float64(l.At.Sub(start).Microseconds())/float64(time.Millisecond/time.Microsecond), l.Instance, l.Message)
	for _, f := range l.Fields {
		text += fmt.Sprintf("  %s=%v", f.Name, f.Value)
	}
	return text
}

// parseLine decodes a log line, and returns it with the ID of its request, if any. It returns false if raw holds no log line.
func parseLine(raw []byte) (Line, string, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return Line{}, "", false
	}
	var fields map[string]any
	if json.Unmarshal(raw[at:], &fields) != nil {
		return Line{}, "", false
	}
	seconds, ok := fields[fieldTime].(float64)
	message, hasMessage := fields[fieldMessage].(string)
	if !ok || !hasMessage {
		return Line{}, "", false
	}
	request, _ := fields[fieldRequest].(string)
	line := Line{At: time.UnixMicro(int64(seconds * float64(time.Second/time.Microsecond))), Message: message}
	line.Instance, _ = fields[fieldInstance].(string)
	line.Level, _ = fields[fieldLevel].(string)
	for name, value := range fields {
		switch name {
		case fieldTime, fieldLevel, fieldMessage, fieldInstance, fieldRequest, fieldLogger:
		default:
			line.Fields = append(line.Fields, Field{Name: name, Value: value})
		}
	}
	slices.SortFunc(line.Fields, func(a, b Field) int { return cmp.Compare(a.Name, b.Name) })
	return line, request, true
}
