package router_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/caller"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/standin/check"
	"github.com/vanillaroute/vanillaroute/standin/embedded"
	"github.com/vanillaroute/vanillaroute/standin/site"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

const (
	testTimeout         = 30 * time.Second
	testAddressValidity = 300 * time.Millisecond
	answerTokens        = 40
)

// deploy starts a deployment for one test: the default site with fast engines, and three routers unless o says otherwise.
func deploy(t *testing.T, o embedded.Options) *embedded.Deployment {
	t.Helper()
	config := site.DefaultConfig()
	config.Engine.DecodePerToken = time.Millisecond
	if o.Routers == 0 {
		o.Routers = 3
	}
	if o.AdjustSettings == nil {
		o.AdjustSettings = shortenTimeouts
	}
	d, err := embedded.Start(config, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func shortenTimeouts(s *settings.Settings) {
	s.Routing.AddressValidity = tomlfile.NewDuration(testAddressValidity)
	s.Routing.GracefulShutdown = tomlfile.NewDuration(testTimeout)
}

func newCaller(t *testing.T, d *embedded.Deployment, seeds ...string) *caller.Client {
	t.Helper()
	if len(seeds) == 0 {
		seeds = d.Addresses()
	}
	c := caller.New(seeds, d.Site.Organisations[0].Key)
	t.Cleanup(c.Close)
	return c
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func testMessages(i int) []caller.Message {
	return []caller.Message{{Role: "user", Content: fmt.Sprintf("Who cast bell %d, and when?", i)}}
}

// streamChat streams one chat and checks that the answer is complete.
func streamChat(ctx context.Context, c *caller.Client, model ident.Model, i int) error {
	s, err := c.Stream(ctx, caller.Chat{
		Model: model, Chat: ident.Chat(fmt.Sprintf("chat-%d", i)), Messages: testMessages(i), MaxTokens: answerTokens,
	})
	if err != nil {
		return err
	}
	text, err := s.ReadAll()
	if err != nil {
		return err
	}
	if want := check.ExpectedAnswer(testMessages(i), answerTokens); text != want {
		return errors.Errorf("chat %d: got %q, want %q", i, text, want)
	}
	return nil
}

func book(ctx context.Context, c *caller.Client, key, body string) (caller.Response, error) {
	return c.Do(ctx, caller.Call{Service: site.BookingService, Method: http.MethodPost, Path: "/bookings", Key: key, Body: []byte(body)})
}

func TestChatsAreCompleteThroughEveryRouter(t *testing.T) {
	d := deploy(t, embedded.Options{})
	ctx := testContext(t)
	var group sync.WaitGroup
	for _, address := range d.Addresses() {
		c := newCaller(t, d, address)
		for i := range 30 {
			group.Go(func() {
				if err := streamChat(ctx, c, d.Site.Config.Model, i); err != nil {
					t.Error(err)
				}
			})
		}
	}
	group.Wait()
}

func TestBookingRunsOnce(t *testing.T) {
	d := deploy(t, embedded.Options{})
	ctx := testContext(t)
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]bool)
	for range 2 {
		for _, address := range d.Addresses() {
			c := newCaller(t, d, address)
			group.Go(func() {
				a, err := book(ctx, c, "tour-1", `{"tour":"workshop"}`)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				answers[string(a.Body)] = true
			})
		}
		group.Wait()
	}
	if len(answers) != 1 {
		t.Errorf("answers differ: %v", answers)
	}
	if n := check.Executions(d.Site.Services)["tour-1"]; n != 1 {
		t.Errorf("booking ran %d times", n)
	}
}

func TestIdempotencyKeyReusedWithDifferentBody(t *testing.T) {
	d := deploy(t, embedded.Options{})
	ctx := testContext(t)
	for i, address := range d.Addresses() {
		_, err := book(ctx, newCaller(t, d, address), "tour-2", fmt.Sprintf(`{"tour":%d}`, i))
		var callErr *caller.Error
		if i > 0 && (!errors.As(err, &callErr) || callErr.Status != http.StatusUnprocessableEntity) {
			t.Errorf("through router %d: got %v, want 422", i, err)
		}
		if i == 0 && err != nil {
			t.Error(err)
		}
	}
}

func TestIssuedKeyWorksWithoutStore(t *testing.T) {
	d := deploy(t, embedded.Options{})
	ctx := testContext(t)
	store := d.Site.Store
	c := newCaller(t, d)
	faults := storeDown()
	store.SetFaults(faults)
	key, err := c.NewIdempotencyKey(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range d.Addresses() {
		if _, err := book(ctx, newCaller(t, d, address), key, `{}`); err != nil {
			t.Error(err)
		}
	}
	if n := check.Executions(d.Site.Services)[key]; n != 1 {
		t.Errorf("booking ran %d times", n)
	}
	_, err = book(ctx, c, "ordinary-key", `{}`)
	var callErr *caller.Error
	if !errors.As(err, &callErr) || callErr.Outcome != "notRun" {
		t.Errorf("without the store: got %v, want a refusal that says notRun", err)
	}
	if n := check.Executions(d.Site.Services)["ordinary-key"]; n != 0 {
		t.Errorf("refused booking ran %d times", n)
	}
}

func TestOpenAIClientWorksUnchanged(t *testing.T) {
	d := deploy(t, embedded.Options{})
	ctx := testContext(t)
	client := openai.NewClient(option.WithBaseURL(d.Addresses()[0]+"/v1/"), option.WithAPIKey(d.Site.Organisations[0].Key), option.WithMaxRetries(0))
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != string(d.Site.Config.Model) {
		t.Fatalf("models: %v, %v", models, err)
	}
	params := openai.ChatCompletionNewParams{
		Model:     string(d.Site.Config.Model),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Who cast the bell?")},
		MaxTokens: openai.Int(answerTokens),
	}
	plain, err := client.Chat.Completions.New(ctx, params)
	if err != nil || plain.Choices[0].FinishReason != "stop" {
		t.Fatalf("plain chat: %v, %v", plain, err)
	}
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var text strings.Builder
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
	}
	if stream.Err() != nil || text.String() != plain.Choices[0].Message.Content {
		t.Errorf("streamed chat: %q, %v; plain chat: %q", text.String(), stream.Err(), plain.Choices[0].Message.Content)
	}
	params.Model = "unknown"
	_, err = client.Chat.Completions.New(ctx, params)
	var callErr *openai.Error
	if !errors.As(err, &callErr) || callErr.StatusCode != http.StatusNotFound || callErr.Code != "model_not_found" {
		t.Errorf("unknown model: %v", err)
	}
}

func TestBadInputIsRefused(t *testing.T) {
	d := deploy(t, embedded.Options{Routers: 1})
	key := "Bearer " + d.Site.Organisations[0].Key
	good := `{"model":"bell-assistant","messages":[{"role":"user","content":"x"}]}`
	tests := []struct {
		name, method, path, auth, body string
		status                         int
		code                           string
	}{
		{"no key", http.MethodPost, "/v1/chat/completions", "", good, http.StatusUnauthorized, "invalid_api_key"},
		{"wrong key", http.MethodPost, "/v1/chat/completions", "Bearer nope", good, http.StatusUnauthorized, "invalid_api_key"},
		{"unknown model", http.MethodPost, "/v1/chat/completions", key, `{"model":"m","messages":[{}]}`, http.StatusNotFound, "model_not_found"},
		{"no messages", http.MethodPost, "/v1/chat/completions", key, `{"model":"bell-assistant"}`, http.StatusBadRequest, "invalid_request"},
		{"broken JSON", http.MethodPost, "/v1/chat/completions", key, `{"model":`, http.StatusBadRequest, "invalid_request"},
		{"10 MB body", http.MethodPost, "/v1/chat/completions", key, strings.Repeat("x", 10<<20), http.StatusRequestEntityTooLarge, "request_too_large"},
		{"no idempotency key", http.MethodPost, "/v1/services/desk/bookings", key, `{}`, http.StatusBadRequest, "idempotency_key_missing"},
		{"unknown service", http.MethodGet, "/v1/services/none/x", key, "", http.StatusNotFound, "service_not_found"},
		{"organisation's key for operators", http.MethodGet, "/admin/status", key, "", http.StatusUnauthorized, "invalid_api_key"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(testContext(t), tt.method, d.Addresses()[0]+tt.path, strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			if tt.auth != "" {
				req.Header.Set("Authorization", tt.auth)
			}
			status, body := send(t, req)
			if status != tt.status || !strings.Contains(body, `"code":"`+tt.code+`"`) || !strings.Contains(body, `"outcome":"notRun"`) {
				t.Errorf("got %d %s, want %d with code %s and outcome notRun", status, body, tt.status, tt.code)
			}
		})
	}
}

// TestIdleConnectionDoesNotDelayShutdown guards against a shutdown that waits for a connection without a request.
func TestIdleConnectionDoesNotDelayShutdown(t *testing.T) {
	d := deploy(t, embedded.Options{})
	node := d.Nodes()[0]
	conn, err := net.Dial("tcp", node.Settings.Router.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(50 * time.Millisecond)
	startedAt := time.Now()
	node.Stop()
	if err := node.Wait(); err != nil {
		t.Fatal(err)
	}
	if took, limit := time.Since(startedAt), node.Settings.Routing.AddressValidity.Std()+2*time.Second; took > limit {
		t.Errorf("shutdown took %s, want at most %s", took, limit)
	}
}
