package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/caller"
	"github.com/vanillaroute/vanillaroute/ident"
)

// Kinds of requests and expected outcomes in a trace.
const (
	Chat      Kind = "chat"
	Catalogue Kind = "catalogue"
	Booking   Kind = "booking"

	Answered          Expect = "answered"
	AnsweredOrRefused Expect = "answeredOrRefused"

	bytesPerToken = 4
	maxLineBytes  = 1 << 20
)

type (
	// Kind is the kind of a request.
	Kind string

	// Expect is the expected outcome of a request.
	Expect string

	// Request is one line of a trace.
	Request struct {
		AtMs         int64              `json:"atMs"`
		Kind         Kind               `json:"kind"`
		Organisation ident.Organisation `json:"organisation"`
		Chat         ident.Chat         `json:"chat,omitempty"`
		Class        ident.Class        `json:"class,omitempty"`
		// PrefixTokens is the number of tokens at the start of the prompt that all chats of the organisation share.
		PrefixTokens int    `json:"prefixTokens,omitempty"`
		PromptTokens int    `json:"promptTokens,omitempty"`
		MaxTokens    int    `json:"maxTokens,omitempty"`
		Key          string `json:"key,omitempty"`
		Expect       Expect `json:"expect"`
	}

	// LineError reports an invalid field in a line of a trace.
	LineError struct {
		Line     int
		Field    string
		Expected string
	}
)

// Error returns the line, the field and the reason.
func (e *LineError) Error() string {
	return fmt.Sprintf("trace line %d: %s: %s", e.Line, e.Field, e.Expected)
}

// Read reads a trace of one JSON object per line. It returns a *LineError for an invalid line.
func Read(r io.Reader) ([]Request, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var trace []Request
	last := int64(0)
	for n := 1; lines.Scan(); n++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var q Request
		d := json.NewDecoder(strings.NewReader(lines.Text()))
		d.DisallowUnknownFields()
		if err := d.Decode(&q); err != nil {
			return nil, &LineError{n, "line", err.Error()}
		}
		if field, expected := q.invalidField(last); field != "" {
			return nil, &LineError{n, field, expected}
		}
		last = q.AtMs
		trace = append(trace, q)
	}
	return trace, lines.Err()
}

// Write writes a trace with one JSON object per line.
func Write(w io.Writer, trace []Request) error {
	out := json.NewEncoder(w)
	for _, q := range trace {
		if err := out.Encode(q); err != nil {
			return err
		}
	}
	return nil
}

// Messages returns the prompt of a chat request. A longer prompt of the same chat starts with the shorter ones, so that it
// can use the prefix cache of an engine.
func (q Request) Messages() []caller.Message {
	shared := min(q.PrefixTokens, q.PromptTokens)
	text := deterministicText("prefix of "+string(q.Organisation), shared) + deterministicText("chat "+string(q.Chat), q.PromptTokens-shared)
	return []caller.Message{{Role: "user", Content: text}}
}

// At returns the time between the start of the trace and the request.
func (q Request) At() time.Duration { return time.Duration(q.AtMs) * time.Millisecond }

func (q Request) invalidField(last int64) (field, expected string) {
	switch {
	case q.AtMs < last:
		return "atMs", "expected a time not before that of the previous line"
	case q.Kind != Chat && q.Kind != Catalogue && q.Kind != Booking:
		return "kind", "expected chat, catalogue or booking"
	case q.Organisation == "":
		return "organisation", "expected a name"
	case q.Kind == Chat && (q.PromptTokens <= 0 || q.MaxTokens <= 0):
		return "promptTokens", "expected promptTokens and maxTokens above 0"
	case q.Kind == Booking && q.Key == "":
		return "key", "expected an idempotency key"
	case q.Expect != Answered && q.Expect != AnsweredOrRefused:
		return "expect", "expected answered or answeredOrRefused"
	default:
		return "", ""
	}
}

// deterministicText returns a text with the given number of tokens that depends only on the name.
func deterministicText(name string, tokens int) string {
	var b strings.Builder
	seed := xxhash.Sum64String(name)
	for i := range max(tokens, 0) {
		seed = seed*6364136223846793005 + uint64(i) + 1442695040888963407
		fmt.Fprintf(&b, "%03x ", seed>>52)
	}
	return b.String()
}
