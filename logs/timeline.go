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
	// maxLine bounds a line of a log that is read.
	maxLine = 1 << 20
	// aside are the fields that a story shows in front of the others, or not at all.
	fieldTime, fieldLevel, fieldMessage, fieldInstance, fieldRequest, fieldLogger = "ts", "level", "msg", "instance", "request", "logger"
)

type (
	// Line is one decision in a log.
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

	// NotLogError says that a file holds no line of a log.
	NotLogError struct{ File string }

	// UnknownRequestError says that no log names a request.
	UnknownRequestError struct {
		Request string
		Lines   int
	}
)

// Error names the file.
func (e *NotLogError) Error() string { return e.File + ": no line of it is a log line" }

// Error names the request.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no decision about request %q in %d log lines", e.Request, e.Lines)
}

// Timeline is what some logs say of one request.
type Timeline struct {
	request   string
	lines     []Line
	linesRead int
}

// NewTimeline returns the empty story of a request.
func NewTimeline(request string) *Timeline { return &Timeline{request: request} }

// Read adds the lines of a log about the request; text before a line's JSON is passed over. It fails with *NotLogError where nothing is a log line.
func (s *Timeline) Read(file string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	found := 0
	for scanner.Scan() {
		line, request, ok := parseLine(scanner.Bytes())
		if !ok {
			continue
		}
		found++
		if request == s.request {
			s.lines = append(s.lines, line)
		}
	}
	s.linesRead += found
	if err := scanner.Err(); err != nil {
		return errors.Wrapf(err, "read %s", file)
	}
	if found == 0 {
		return &NotLogError{File: file}
	}
	return nil
}

// ReadFile adds the lines of a file as Read does.
func (s *Timeline) ReadFile(name string) error {
	f, err := os.Open(filepath.Clean(name))
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	return s.Read(name, f)
}

// Lines returns the decisions in order; it fails with *UnknownRequestError where there are none.
func (s *Timeline) Lines() ([]Line, error) {
	if len(s.lines) == 0 {
		return nil, &UnknownRequestError{Request: s.request, Lines: s.linesRead}
	}
	slices.SortStableFunc(s.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return s.lines, nil
}

// String returns the decision on one line, with the time since a start.
func (l Line) String(start time.Time) string {
	text := fmt.Sprintf("%+9.1f ms  %s  %s", float64(l.At.Sub(start).Microseconds())/float64(time.Millisecond/time.Microsecond), l.Instance, l.Message)
	for _, f := range l.Fields {
		text += fmt.Sprintf("  %s=%v", f.Name, f.Value)
	}
	return text
}

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
	message, named := fields[fieldMessage].(string)
	if !ok || !named {
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
