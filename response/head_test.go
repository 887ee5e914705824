package response

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/sizelimit"
)

// TestHeadIsCheckedInAnyPieces guards against a head whose check depends on how its bytes arrive, or on net/http.
func TestHeadIsCheckedInAnyPieces(t *testing.T) {
	tests := []struct {
		head      string
		malformed bool
	}{
		{"HTTP/1.1 200 OK\r\nX-Other: x\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nX-Other\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nX Other: x\r\n\r\n", true},
		{"HTTP/1.1 2000 OK\r\n\r\n", true},
		{"\r\n", true},
	}
	for _, tt := range tests {
		for size := 1; size <= len(tt.head); size++ {
			var h head
			var complete bool
			var err error
			for from := 0; from < len(tt.head) && err == nil; from += size {
				_, complete, err = h.read([]byte(tt.head[from:min(from+size, len(tt.head))]))
			}
			var malformed *MalformedError
			if errors.As(err, &malformed) != tt.malformed || complete == tt.malformed {
				t.Errorf("%q in pieces of %d: complete %t, %v", tt.head, size, complete, err)
			}
		}
	}
	var tooLong *sizelimit.Error
	if _, _, err := (&head{}).read(make([]byte, sizelimit.MaxHeadBytes+1)); !errors.As(err, &tooLong) {
		t.Errorf("a head without an end got %v", err)
	}
}
