package lists

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

const (
	// PlanPrefix starts the store key of every plan entry.
	PlanPrefix = "/vanillaroute/lists/plans/"
	// AllowancePrefix starts the store key of every allowance.
	AllowancePrefix = "/vanillaroute/lists/allowances/"
	// Prefix starts the store key of every entry of both lists.
	Prefix = "/vanillaroute/lists/"

	// hashHexLength is the length of a key hash in hexadecimal digits.
	hashHexLength = 2 * sha256.Size
	// contentHashBytes is how much of the SHA-256 hash ContentHash keeps.
	contentHashBytes = 8
)

type (
	// PlanEntry is the plan of one organisation and the SHA-256 hashes of its keys.
	PlanEntry struct {
		Organisation ident.Organisation `json:"organisation" toml:"organisation"`
		Plan         ident.Plan         `json:"plan" toml:"plan"`
		KeyHashes    []string           `json:"keyHashes" toml:"keyHashes"`
		// ReadContentHash is the ContentHash of the entry when it was read from the store. It shows which entries of an edited file are unchanged.
		ReadContentHash string `json:"-" toml:"readAs,omitempty"`
	}

	// Allowance says what each organisation with a plan may use: models, services, and rates over the whole fleet.
	Allowance struct {
		Plan              ident.Plan      `json:"plan" toml:"plan"`
		Models            []ident.Model   `json:"models" toml:"models"`
		Services          []ident.Service `json:"services" toml:"services"`
		RequestsPerSecond float64         `json:"requestsPerSecond" toml:"requestsPerSecond"`
		TokensPerSecond   float64         `json:"tokensPerSecond" toml:"tokensPerSecond"`
		Concurrency       int             `json:"concurrency" toml:"concurrency"`
		// ReadContentHash has the same meaning as in PlanEntry.
		ReadContentHash string `json:"-" toml:"readAs,omitempty"`
	}

	// File is the content of a list file: one list or both. A list that the file does not hold is nil; an empty one is not.
	File struct {
		// Revision is the revision of the configuration from which the file was written; 0 for a new list.
		Revision   ident.Revision `toml:"revision,omitempty"`
		Plans      []PlanEntry    `toml:"plan,omitempty"`
		Allowances []Allowance    `toml:"allowance,omitempty"`
	}

	// EntryError says which field of an entry is wrong, without a file and line.
	EntryError struct {
		Entry    string
		Field    string
		Expected string
	}
)

// fileKeys are the top-level keys of list files.
var fileKeys = []string{"revision", "plan", "allowance"}

// Error returns the entry, the field and what was expected.
func (e *EntryError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Entry, e.Field, e.Expected)
}

// Key returns the store key of the entry.
func (p PlanEntry) Key() string { return PlanPrefix + string(p.Organisation) }

// Key returns the store key of the entry.
func (a Allowance) Key() string { return AllowancePrefix + string(a.Plan) }

// HashKey returns the SHA-256 hash of a key in hexadecimal digits, as in PlanEntry.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Check returns an *EntryError for the first invalid field.
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

// Check returns an *EntryError for the first invalid field.
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

// ContentHash returns a hash of an entry's content without its ReadContentHash, or "" if the entry cannot be encoded.
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

// Parse decodes and checks a list file. It fails with a *tomlfile.FieldError.
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

// IsListFile reports whether the file belongs to the lists and is therefore not a settings file: it has a table of either list, or it holds
// nothing else, as after the last entry was removed from it.
func IsListFile(data []byte) bool {
	for _, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[[plan]]") || strings.HasPrefix(line, "[[allowance]]") {
			return true
		}
	}
	var content map[string]any
	if err := toml.Unmarshal(data, &content); err != nil || len(content) == 0 {
		return false
	}
	for key := range content {
		if !slices.Contains(fileKeys, key) {
			return false
		}
	}
	return true
}

// CheckReferences checks that each plan has an allowance. It fails with an *EntryError.
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

// DecodeValue decodes and checks the value of a store key. It returns a plan entry or an allowance, depending on the key. It fails if the
// key belongs to neither list, differs from the key of the entry, or if the entry is invalid.
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

// checkEntries checks every entry and that no key occurs twice.
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

// withLine turns an *EntryError for the entry at index of a table into a *tomlfile.FieldError with file and line.
func withLine(name string, data []byte, table string, index int, err error) error {
	var entry *EntryError
	if !errors.As(err, &entry) {
		return err
	}
	return &tomlfile.FieldError{File: name, Line: tomlfile.Line(data, table, index, entry.Field), Field: table + "." + entry.Field, Expected: entry.Expected}
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
