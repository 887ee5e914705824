package lists_test

import (
	"encoding/json"
	"testing"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/tomlfile"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

func FuzzListFiles(f *testing.F) {
	f.Add([]byte("[[plan]]\norganisation = \"a\"\nplan = \"p\"\n"))
	f.Add([]byte("[[allowance]]\nplan = \"p\"\nrequestsPerSecond = nan\n"))
	f.Add([]byte("revision = 3\n[[plan]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := lists.Parse("f", data)
		if err != nil {
			var field *tomlfile.FieldError
			if !errors.As(err, &field) || field.Line < 1 || field.Expected == "" {
				t.Errorf("error without line or expectation: %v", err)
			}
			return
		}
		for _, p := range file.Plans {
			value, err := json.Marshal(p)
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err := lists.DecodeValue(p.Key(), value); err != nil {
				t.Errorf("entry is valid in a file but invalid in the store: %v", err)
			}
		}
	})
}
