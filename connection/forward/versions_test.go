package forward

import (
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// TestStreamIsContinuedByTheVersionThatBeganIt guards against one answer with events of engines of two software versions.
func TestStreamIsContinuedByTheVersionThatBeganIt(t *testing.T) {
	tests := []struct {
		name     string
		versions []engines.Version
		// goesOn says that each stream goes on at another engine, whichever began it.
		goesOn bool
	}{
		{"three versions", []engines.Version{"v1", "v2", "v3"}, false},
		{"two versions", []engines.Version{"v1", "v2", "v2"}, false},
		{"one does not name its version", []engines.Version{"v1", "", ""}, false},
		{"one version", []engines.Version{"v1", "v1", "v1"}, true},
		{"none names its version", []engines.Version{"", "", ""}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSlowFixture(t, routing.Route{Kind: routing.Stream, Resumable: true, MaxEngines: 3}, func(_ int, w http.ResponseWriter, r *http.Request) {
				w.Header().Set(testNames.ResponseSeal, "seal")
				w.Header().Set("Content-Type", streamMediaType)
				if r.Header.Get(testNames.LastEventID) == "" {
					_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
					_ = http.NewResponseController(w).Flush()
					abortConnection()
				}
				_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
			})
			version := make(map[ident.Engine]engines.Version)
			var all []engines.Engine
			for i, e := range f.engines.Load().OfService(service) {
				e.Version = tt.versions[i]
				version[e.ID] = e.Version
				all = append(all, e)
			}
			f.engines.Store(engines.NewList(all))
			for n := range 8 {
				f.headers = nil
				_, _, err := f.send(t, func(r *http.Request) {
					longDeadline(r)
					r.URL.RawQuery = strconv.Itoa(n)
				})
				f.mu.Lock()
				began := ident.Engine(f.headers[0].Get(testNames.ExpectedEngine))
				for _, h := range f.headers[1:] {
					at := ident.Engine(h.Get(testNames.ExpectedEngine))
					if v := version[at]; v != version[began] || (v == "" && !tt.goesOn) {
						t.Errorf("the stream of %s (%q) went on at %s (%q)", began, version[began], at, v)
					}
				}
				if tt.goesOn && (err != nil || len(f.headers) < 2) {
					t.Errorf("the stream of %s did not go on: %v", began, err)
				}
				f.mu.Unlock()
			}
		})
	}
}
