package router_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/caller"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/standin/embedded"
	"github.com/vanillaroute/vanillaroute/standin/rawhttp"
	"github.com/vanillaroute/vanillaroute/standin/site"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/wire"
)

// startBroken starts an instance that reports its load and answers anything else with a malformed response, which it counts.
func startBroken(t *testing.T, head string) (string, *atomic.Int32) {
	t.Helper()
	var broken atomic.Int32
	server, err := rawhttp.Start(func(r *http.Request) string {
		if r.URL.Path == "/load" {
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		}
		broken.Add(1)
		const body = "data: {\"choices\":[]}\n\ndata: [DONE]\n\n"
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address(), &broken
}

// TestBrokenAnswersReachNoCaller guards against malformed responses of an engine or a service that callers get as answers: chats are answered by other engines,
// and bookings either too or with a failure that does not promise that they have not run.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 Zero\r\n", "HTTP/1.1 700 High\r\n", "HTTP/1.1 200 OK\r\nX Other: x\r\n"} {
		t.Run(strings.TrimSpace(head), func(t *testing.T) {
			d := deploy(t, embedded.Options{})
			ctx := testContext(t)
			engine, chats := startBroken(t, head)
			desk, bookings := startBroken(t, head)
			d.Site.AddInstance(fleet.Instance{
				ID: "broken-engine", Role: fleet.RoleEngine, Address: engine, FailureDomain: "brest", State: fleet.StateLive, Models: []ident.Model{d.Site.Config.Model}, Slots: 64,
			})
			d.Site.AddInstance(fleet.Instance{ID: "broken-desk", Role: fleet.RoleService, Address: desk, FailureDomain: "brest", State: fleet.StateLive, Service: site.BookingService})
			c := newCaller(t, d)
			within := time.Now().Add(testTimeout / 2)
			for round := 0; (chats.Load() == 0 || bookings.Load() == 0) && time.Now().Before(within); round++ {
				var group sync.WaitGroup
				for i := range 10 {
					group.Go(func() {
						if err := streamChat(ctx, c, d.Site.Config.Model, 10*round+i); err != nil {
							t.Error(err)
						}
						var refused *caller.Error
						answer, err := book(ctx, c, fmt.Sprint(round, "-", i), `{"tour":"workshop"}`)
						switch {
						case errors.As(err, &refused):
							if refused.Outcome == wire.OutcomeNotRun {
								t.Errorf("a booking that may have run is refused with %v", refused)
							}
						case err != nil || answer.Status >= http.StatusMultipleChoices || strings.Contains(string(answer.Body), "choices"):
							t.Errorf("a booking got %+v, %v", answer, err)
						}
					})
				}
				group.Wait()
			}
			if chats.Load() == 0 || bookings.Load() == 0 {
				t.Errorf("%d chats and %d bookings reached the broken instances", chats.Load(), bookings.Load())
			}
		})
	}
}
