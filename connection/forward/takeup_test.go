package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// TestTakeUpGoesToTheServiceThatBeganTheStream guards against a route to two services whose take-ups go to another one than the stream: its version is not
// known there.
func TestTakeUpGoesToTheServiceThatBeganTheStream(t *testing.T) {
	f := newFixture(t, routing.Route{}, nil)
	f.handler.Names.Resumes = "X-Resumes"
	backends := []routing.Backend{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
	for _, resumable := range []bool{true, false} {
		route := &routing.Route{Kind: routing.Stream, Resumable: resumable, Backends: backends}
		for i := range 20 {
			id, resumed := ident.Request(fmt.Sprint("own", i)), ident.Request(fmt.Sprint("began", i))
			r, err := http.NewRequest(http.MethodPost, "/", nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set(testNames.RequestID, string(id))
			r.Header.Set("X-Resumes", string(resumed))
			want := route.Service(id)
			if resumable {
				want = route.Service(resumed)
			}
			if x := f.handler.newExchange(nil, r, route, "", nil, time.Now()); x.service != want {
				t.Errorf("resumable: %t: the service of %s, which takes up %s, is %s, want %s", resumable, id, resumed, x.service, want)
			}
		}
	}
}
