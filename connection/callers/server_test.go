package callers

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

// TestOperatorsKeyMustNotBeEmpty guards against admitting operators without a key if the settings hold the hash of an empty one.
func TestOperatorsKeyMustNotBeEmpty(t *testing.T) {
	tests := []struct {
		name, key, authorization string
		status                   int
	}{
		{"right key", "secret", "Bearer secret", http.StatusOK},
		{"wrong key", "secret", "Bearer other", http.StatusUnauthorized},
		{"no key", "secret", "", http.StatusUnauthorized},
		{"no key, hash of an empty key", "", "", http.StatusUnauthorized},
		{"empty key, hash of an empty key", "", "Bearer ", http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Server{Dependencies: Dependencies{Settings: settings.Settings{Operators: settings.Operators{KeyHash: lists.HashKey(tt.key)}}}}
			r := httptest.NewRequest(http.MethodGet, "/admin/lists", nil)
			r.Header.Set("Authorization", tt.authorization)
			w := httptest.NewRecorder()
			s.requireOperator(func(http.ResponseWriter, *http.Request) {})(w, r)
			if w.Code != tt.status {
				t.Errorf("got status %d, want %d", w.Code, tt.status)
			}
		})
	}
}
