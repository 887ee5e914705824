package lists

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

const (
	// PlanPrefix is the start of every store key that holds an entry of the plans list.
	PlanPrefix = "/vanillaroute/lists/plans/"
	// AllowancePrefix is the start of every store key that holds an entry of the allowances list.
	AllowancePrefix = "/vanillaroute/lists/allowances/"
	// Prefix is the start of every store key of both lists.
	Prefix = "/vanillaroute/lists/"

	hashHexLength    = 2 * sha256.Size
	contentHashBytes = 8
)

type (
	// PlanEntry gives one organisation its plan and the hashes of its keys.
	PlanEntry struct {
		Organisation ident.Organisation `json:"organisation" toml:"organisation"`
		Plan         ident.Plan         `json:"plan" toml:"plan"`
		KeyHashes    []string           `json:"keyHashes" toml:"keyHashes"`
		// ReadContentHash identifies the content that the entry was read with, so that one left alone is known in an edited file.
		ReadContentHash string `json:"-" toml:"readAs,omitempty"`
	}

	// Allowance says what one plan may use: models, services, and rates for the whole fleet.
	Allowance struct {
		Plan              ident.Plan      `json:"plan" toml:"plan"`
		Models            []ident.Model   `json:"models" toml:"models"`
		Services          []ident.Service `json:"services" toml:"services"`
		RequestsPerSecond float64         `json:"requestsPerSecond" toml:"requestsPerSecond"`
		TokensPerSecond   float64         `json:"tokensPerSecond" toml:"tokensPerSecond"`
		Concurrency       int             `json:"concurrency" toml:"concurrency"`
		// ReadContentHash identifies the content that the entry was read with, as in PlanEntry.
		ReadContentHash string `json:"-" toml:"readAs,omitempty"`
	}

	// File is the content of a list file: either list, or both.
	File struct {
		// Revision is that of the configuration which the file was written from; 0 for a new list.
		Revision   ident.Revision `toml:"revision,omitempty"`
		Plans      []PlanEntry    `toml:"plan,omitempty"`
		Allowances []Allowance    `toml:"allowance,omitempty"`
	}

	// EntryError says which field of an entry is wrong, where no file is known.
	EntryError struct {
		Entry    string
		Field    string
		Expected string
	}
)

// Error names the entry, the field and the expectation.
func (e *EntryError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Entry, e.Field, e.Expected)
}

// Key returns the store key of the entry.
func (p PlanEntry) Key() string { return PlanPrefix + string(p.Organisation) }

// Key returns the store key of the entry.
func (a Allowance) Key() string { return AllowancePrefix + string(a.Plan) }

// HashKey returns the form in which an organisation's key stands in the plans list.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Check returns an *EntryError for the first wrong field.
func (p PlanEntry) Check() error {
	entry := "plan of organisation " + string(p.Organisation)
	if err := checkName(entry, "organisation", string(p.Organisation)); err != nil {
		return err
	}
	if p.Plan == "" {
		return &EntryError{Entry: entry, Field: "plan", Expected: "expected the plan of the organisation"}
	}
	for _, h := range p.KeyHashes {
		if _, err := hex.DecodeString(h); err != nil || len(h) != hashHexLength {
			return &EntryError{Entry: entry, Field: "keyHashes", Expected: "expected SHA-256 hashes of 64 hexadecimal digits"}
		}
	}
	return nil
}

// Check returns an *EntryError for the first wrong field.
func (a Allowance) Check() error {
	entry := "allowance of plan " + string(a.Plan)
	if err := checkName(entry, "plan", string(a.Plan)); err != nil {
		return err
	}
	if !(a.RequestsPerSecond >= 0) {
		return &EntryError{Entry: entry, Field: "requestsPerSecond", Expected: "expected a rate of 0 or more"}
	}
	if !(a.TokensPerSecond >= 0) {
		return &EntryError{Entry: entry, Field: "tokensPerSecond", Expected: "expected a rate of 0 or more"}
	}
	if a.Concurrency < 0 {
		return &EntryError{Entry: entry, Field: "concurrency", Expected: "expected a count of 0 or more"}
	}
	return nil
}

// ContentHash identifies what an entry says, whatever it was read with.
func ContentHash(entry any) string {
	body, err := json.Marshal(entry)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:contentHashBytes])
}

// MayUseModel reports whether the allowance names the model.
func (a Allowance) MayUseModel(m ident.Model) bool { return slices.Contains(a.Models, m) }

// MayUseService reports whether the allowance names the service.
func (a Allowance) MayUseService(s ident.Service) bool { return slices.Contains(a.Services, s) }

// Parse reads and checks a list file, and fails with a *tomlfile.FieldError.
func Parse(name string, data []byte) (File, error) {
	var f File
	if err := tomlfile.Decode(name, data, &f); err != nil {
		return File{}, err
	}
	if err := f.checkEntries(name, data); err != nil {
		return File{}, err
	}
	return f, nil
}

// IsListFile reports whether the file holds tables of either list, and so is not a settings file.
func IsListFile(data []byte) bool {
	for _, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[[plan]]") || strings.HasPrefix(line, "[[allowance]]") {
			return true
		}
	}
	return false
}

// CheckReferences checks references between the two lists, and fails with an *EntryError.
func (f File) CheckReferences() error {
	known := make(map[ident.Plan]bool, len(f.Allowances))
	for _, a := range f.Allowances {
		known[a.Plan] = true
	}
	for _, p := range f.Plans {
		if !known[p.Plan] {
			return &EntryError{Entry: "plan of organisation " + string(p.Organisation), Field: "plan", Expected: fmt.Sprintf("plan %q has no allowance", p.Plan)}
		}
	}
	return nil
}

// DecodeValue reads a store value into the entry that its key names and checks it.
func DecodeValue(key string, value []byte) (*PlanEntry, *Allowance, error) {
	switch {
	case strings.HasPrefix(key, PlanPrefix):
		var p PlanEntry
		if err := json.Unmarshal(value, &p); err != nil {
			return nil, nil, errors.Wrap(err, "decode plan")
		}
		if err := checkKey(key, p.Key()); err != nil {
			return nil, nil, err
		}
		return &p, nil, p.Check()
	case strings.HasPrefix(key, AllowancePrefix):
		var a Allowance
		if err := json.Unmarshal(value, &a); err != nil {
			return nil, nil, errors.Wrap(err, "decode allowance")
		}
		if err := checkKey(key, a.Key()); err != nil {
			return nil, nil, err
		}
		return nil, &a, a.Check()
	default:
		return nil, nil, errors.Errorf("key %q belongs to neither list", key)
	}
}

func (f File) checkEntries(name string, data []byte) error {
	seen := make(map[string]bool)
	for i, p := range f.Plans {
		if err := withLine(name, data, "plan", i, p.Check()); err != nil {
			return err
		}
		if seen[p.Key()] {
			return &tomlfile.FieldError{File: name, Line: tomlfile.Line(data, "plan", i, "organisation"), Field: "plan.organisation", Expected: fmt.Sprintf("organisation %q stands twice", p.Organisation)}
		}
		seen[p.Key()] = true
	}
	for i, a := range f.Allowances {
		if err := withLine(name, data, "allowance", i, a.Check()); err != nil {
			return err
		}
		if seen[a.Key()] {
			return &tomlfile.FieldError{File: name, Line: tomlfile.Line(data, "allowance", i, "plan"), Field: "allowance.plan", Expected: fmt.Sprintf("plan %q stands twice", a.Plan)}
		}
		seen[a.Key()] = true
	}
	return nil
}

func withLine(name string, data []byte, table string, n int, err error) error {
	var entry *EntryError
	if !errors.As(err, &entry) {
		return err
	}
	return &tomlfile.FieldError{File: name, Line: tomlfile.Line(data, table, n, entry.Field), Field: table + "." + entry.Field, Expected: entry.Expected}
}

func checkName(entry, field, name string) error {
	if name == "" || strings.ContainsAny(name, "/ \t\n") {
		return &EntryError{Entry: entry, Field: field, Expected: "expected a name without spaces and slashes"}
	}
	return nil
}

func checkKey(got, want string) error {
	if got != want {
		return errors.Errorf("key %q holds the entry of %q", got, want)
	}
	return nil
}
