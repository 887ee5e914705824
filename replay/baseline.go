package replay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/rank"
)

// Simple policies as baselines for the routers.
const (
	RoundRobin    Policy = "roundRobin"
	LeastReported Policy = "leastReported"
	TwoChoices    Policy = "twoChoices"
	Rendezvous    Policy = "rendezvous"

	refreshInterval   = time.Second
	baselineAttempts  = 3
	priorityHigh      = "10"
	priorityLow       = "0"
	maxEventLineBytes = 1 << 20
)

type (
	// Policy is the name of a policy for choosing an engine.
	Policy string

	// ListFunc returns the platform's list of instances.
	ListFunc func(ctx context.Context) ([]fleet.Instance, error)

	// Baseline is a target that sends each chat directly to the engine that the policy chooses.
	Baseline struct {
		policy         Policy
		model          ident.Model
		list           ListFunc
		expectedAnswer ExpectedAnswerFunc
		http           *http.Client
		stop           context.CancelFunc
		tasks          sync.WaitGroup

		mu       sync.Mutex
		random   *rand.Rand
		engines  []fleet.Instance
		services []fleet.Instance
		loads    map[string]int
		next     int
	}
)

// NewBaseline returns a target with the policy. It refreshes the list of instances and the engines' load reports once a second
// until Close, and checks answers against expected. It returns an error if the first refresh fails.
func NewBaseline(policy Policy, model ident.Model, list ListFunc, expected ExpectedAnswerFunc, seed uint64) (*Baseline, error) {
	ctx, stop := context.WithCancel(context.Background())
	b := &Baseline{
		policy: policy, model: model, list: list, expectedAnswer: expected, stop: stop, http: &http.Client{Transport: engine.NewTransport()},
		random: rand.New(rand.NewPCG(seed, 1)), loads: make(map[string]int),
	}
	if err := b.refresh(ctx); err != nil {
		stop()
		return nil, err
	}
	b.tasks.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-time.After(refreshInterval):
			case <-ctx.Done():
			}
			_ = b.refresh(ctx)
		}
	})
	return b, nil
}

// Close stops refreshing the list and closes the idle connections.
func (b *Baseline) Close() {
	b.stop()
	b.tasks.Wait()
	b.http.CloseIdleConnections()
}

// Send executes a request. It retries a chat at another choice of the policy after a failure.
func (b *Baseline) Send(ctx context.Context, q Request, onFirstToken func()) error {
	if q.Kind != Chat {
		return b.sendServiceCall(ctx, q)
	}
	var last error
	for attempt := range baselineAttempts {
		address := b.pickEngine(q, attempt)
		if last = b.sendChat(ctx, address, q, onFirstToken); last == nil {
			return nil
		}
	}
	return last
}

// pickEngine returns the address of the engine that the policy chooses for an attempt, counted from 0, or "" without engines.
func (b *Baseline) pickEngine(q Request, attempt int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.engines)
	if n == 0 {
		return ""
	}
	switch b.policy {
	case LeastReported:
		best := b.random.IntN(n)
		for i, e := range b.engines {
			if b.loads[e.Address] < b.loads[b.engines[best].Address] {
				best = i
			}
		}
		return b.engines[best].Address
	case TwoChoices:
		x, y := b.engines[b.random.IntN(n)].Address, b.engines[b.random.IntN(n)].Address
		if b.loads[y] < b.loads[x] {
			return y
		}
		return x
	case Rendezvous:
		members := rank.EqualWeights(b.engines, func(i fleet.Instance) string { return i.ID })
		order := rank.Order(string(q.Chat), members, attempt+1)
		return b.engines[order[min(attempt, len(order)-1)]].Address
	default:
		b.next++
		return b.engines[b.next%n].Address
	}
}

func (b *Baseline) sendChat(ctx context.Context, address string, q Request, onFirstToken func()) error {
	messages := q.Messages()
	body, err := json.Marshal(struct {
		Model     ident.Model `json:"model"`
		Stream    bool        `json:"stream"`
		User      ident.Chat  `json:"user"`
		MaxTokens int         `json:"max_tokens"`
		Messages  any         `json:"messages"`
	}{b.model, true, q.Chat, q.MaxTokens, messages})
	if err != nil {
		return errors.Wrap(err, "encode chat")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build chat")
	}
	req.Header.Set(engine.HeaderPriority, priorityHigh)
	if q.Class == "long" {
		req.Header.Set(engine.HeaderPriority, priorityLow)
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "send chat")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("engine answered %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventLineBytes)
	var text strings.Builder
	for events := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if events++; events == 1 {
			onFirstToken()
		}
		if content, err := engine.Content([]byte(data)); err == nil {
			text.WriteString(content)
		}
	}
	return checkComplete(text.String(), b.expectedAnswer(messages, q.MaxTokens))
}

func (b *Baseline) sendServiceCall(ctx context.Context, q Request) error {
	b.mu.Lock()
	b.next++
	address := b.services[b.next%len(b.services)].Address
	b.mu.Unlock()
	method, path := http.MethodGet, "/catalogue"
	if q.Kind == Booking {
		method, path = http.MethodPost, "/bookings"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(`{}`))
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call service")
	}
	return resp.Body.Close()
}

// refresh reads the list of instances and the load report of every engine. Engines without a report and engines that are
// shutting down are left out.
func (b *Baseline) refresh(ctx context.Context) error {
	list, err := b.list(ctx)
	if err != nil {
		return err
	}
	var engines, services []fleet.Instance
	loads := make(map[string]int)
	for _, i := range list {
		switch {
		case i.State != fleet.StateLive || i.Role == fleet.RoleRouter:
		case i.Role == fleet.RoleService:
			services = append(services, i)
		default:
			report, err := engine.New(i.Address, b.http.Transport).Load(ctx)
			if err != nil || report.Leaving {
				continue
			}
			engines = append(engines, i)
			loads[i.Address] = report.Running + report.Waiting
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines, b.services, b.loads = engines, services, loads
	return nil
}
