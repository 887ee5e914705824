package sizelimit_test

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/sizelimit"
)

// TestTooManyBytesAreAnError guards against a message that is cut at its bound and taken as complete.
func TestTooManyBytesAreAnError(t *testing.T) {
	const maxBytes = 8
	tests := []struct {
		name    string
		message string
		fails   bool
	}{
		{"shorter", "seven b", false},
		{"at the bound", "8 bytes.", false},
		{"longer", "nine byte", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := sizelimit.ReadAll(strings.NewReader(tt.message), maxBytes)
			var tooLarge *sizelimit.Error
			if errors.As(err, &tooLarge) != tt.fails || (!tt.fails && string(got) != tt.message) {
				t.Errorf("ReadAll: %q, %v", got, err)
			}
		})
	}
	r := sizelimit.Reader{Reader: strings.NewReader("nine byte")}
	r.Allow(maxBytes)
	got, err := io.ReadAll(&r)
	var tooLarge *sizelimit.Error
	if string(got) != "nine byt" || !errors.As(err, &tooLarge) || tooLarge.MaxBytes != maxBytes {
		t.Errorf("Reader: %q, %v", got, err)
	}
}
