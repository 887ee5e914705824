package tomlfile

import (
	"bytes"
	stderrors "errors"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

type (
	// FieldError reports an invalid field of a file and what was expected there.
	FieldError struct {
		File     string
		Line     int
		Field    string
		Expected string
	}

	// Duration is a length of time with its unit, such as "250ms". It is a struct so that the decoder rejects bare numbers.
	Duration struct{ value time.Duration }

	// Bytes is an amount of memory with its unit, such as "184MB". It is a struct so that the decoder rejects bare numbers.
	Bytes struct{ value int64 }

	// Address is an IP address with a port, such as "127.0.0.1:8001".
	Address struct{ netip.AddrPort }
)

// Error returns file, line, field and expectation in one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Expected)
}

// UnmarshalText parses a duration. It returns an error if the unit is missing or unknown.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a duration with a unit such as \"250ms\", not %q", text)
	}
	d.value = v
	return nil
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return d.value }

// NewDuration returns d as a Duration.
func NewDuration(d time.Duration) Duration { return Duration{value: d} }

// UnmarshalText parses an amount of memory. It returns an error unless it is a whole number of kB, MB or GB.
func (b *Bytes) UnmarshalText(text []byte) error {
	for unit, size := range map[string]int64{"kB": 1e3, "MB": 1e6, "GB": 1e9} {
		number, ok := strings.CutSuffix(string(text), unit)
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64); err == nil && n >= 0 && n <= math.MaxInt64/size {
			b.value = n * size
			return nil
		}
	}
	return fmt.Errorf("expected an amount of memory such as \"184MB\", not %q", text)
}

// MarshalText returns the amount in kB.
func (b Bytes) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(b.value/1e3, 10) + "kB"), nil
}

// Int64 returns the number of bytes.
func (b Bytes) Int64() int64 { return b.value }

// NewBytes returns n bytes.
func NewBytes(n int64) Bytes { return Bytes{value: n} }

// UnmarshalText parses an address. It returns an error for anything but an IP address with a port.
func (a *Address) UnmarshalText(text []byte) error {
	v, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return fmt.Errorf("expected an IP address with a port such as \"127.0.0.1:8001\", not %q", text)
	}
	a.AddrPort = v
	return nil
}

// MarshalText returns the address as IP address and port.
func (a Address) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// Decode decodes data into v. It returns a *FieldError for unknown keys and invalid values.
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

// errorLine finds the line of an error that has no position: it decodes growing prefixes of data and returns the last line
// of the first prefix that fails with the same error.
func errorLine(data []byte, v any, err error) int {
	lines := bytes.SplitAfter(data, []byte("\n"))
	for n := range lines {
		target := reflect.New(reflect.TypeOf(v).Elem()).Interface()
		lineErr := toml.NewDecoder(bytes.NewReader(bytes.Join(lines[:n+1], nil))).DisallowUnknownFields().Decode(target)
		if lineErr != nil && lineErr.Error() == err.Error() {
			return n + 1
		}
	}
	return 1
}

// Line returns the line of a key in the n-th table with that name, counted from 0. Without the key it returns the line of
// the table, and without the table 1.
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

// fieldAt returns the key on a line, or "file" if the line does not exist.
func fieldAt(data []byte, line int) string {
	lines := strings.Split(string(data), "\n")
	if line < 1 || line > len(lines) {
		return "file"
	}
	name, _, _ := strings.Cut(lines[line-1], "=")
	return strings.TrimSpace(name)
}
