package tomlfile

import (
	"bytes"
	stderrors "errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

type (
	// FieldError says which field of which file is wrong and what is expected there.
	FieldError struct {
		File     string
		Line     int
		Field    string
		Expected string
	}

	// Duration is a length of time written with its unit, such as "250ms"; being a struct, it takes no bare number.
	Duration struct{ value time.Duration }

	// Address is an IP number with a port, such as "127.0.0.1:8001".
	Address struct{ netip.AddrPort }
)

// Error names the place and the expectation in one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Expected)
}

// UnmarshalText reads a duration, and fails where the unit is missing or unknown.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a duration with a unit such as \"250ms\", not %q", text)
	}
	d.value = v
	return nil
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return d.value }

// NewDuration returns a duration of the standard library's type as settings hold it.
func NewDuration(d time.Duration) Duration { return Duration{value: d} }

// UnmarshalText reads an address, and fails on anything but an IP number with a port.
func (a *Address) UnmarshalText(text []byte) error {
	v, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return fmt.Errorf("expected an IP number with a port such as \"127.0.0.1:8001\", not %q", text)
	}
	a.AddrPort = v
	return nil
}

// MarshalText writes the address as IP number and port.
func (a Address) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// Decode reads data into v and fails with a *FieldError on unknown keys and wrong values.
func Decode(file string, data []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if stderrors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return &FieldError{File: file, Line: line, Field: strings.Join(first.Key(), "."), Expected: "unknown key; remove it or correct its name"}
	}
	var decode *toml.DecodeError
	if stderrors.As(err, &decode) {
		line, _ := decode.Position()
		return &FieldError{File: file, Line: line, Field: fieldName(decode, data, line), Expected: strings.TrimPrefix(decode.Error(), "toml: ")}
	}
	line := errorLine(data, v, err)
	return &FieldError{File: file, Line: line, Field: fieldAt(data, line), Expected: strings.TrimPrefix(err.Error(), "toml: ")}
}

// errorLine returns the first line with which the decoder gives an error that itself names none.
func errorLine(data []byte, v any, err error) int {
	lines := bytes.SplitAfter(data, []byte("\n"))
	for n := range lines {
		fresh := reflect.New(reflect.TypeOf(v).Elem()).Interface()
		again := toml.NewDecoder(bytes.NewReader(bytes.Join(lines[:n+1], nil))).DisallowUnknownFields().Decode(fresh)
		if again != nil && again.Error() == err.Error() {
			return n + 1
		}
	}
	return 1
}

// Line returns the line of a key in the n-th table (from 0) of that name, or the table's own line, or 1.
func Line(data []byte, table string, n int, key string) int {
	inside, found, seen := table == "", 1, -1
	for i, raw := range strings.Split(string(data), "\n") {
		text := strings.TrimSpace(raw)
		if strings.HasPrefix(text, "[") {
			name := strings.Trim(strings.TrimSpace(strings.SplitN(text, "#", 2)[0]), "[] ")
			if name == table {
				seen++
			}
			inside = name == table && seen == n
			if inside {
				found = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(text, "=")
		if inside && ok && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return found
}

func fieldName(err *toml.DecodeError, data []byte, line int) string {
	if key := strings.Join(err.Key(), "."); key != "" {
		return key
	}
	return fieldAt(data, line)
}

// fieldAt returns the key that stands on a line.
func fieldAt(data []byte, line int) string {
	lines := strings.Split(string(data), "\n")
	if line < 1 || line > len(lines) {
		return "file"
	}
	name, _, _ := strings.Cut(lines[line-1], "=")
	return strings.TrimSpace(name)
}
