package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/standin/embedded"
	"github.com/vanillaroute/vanillaroute/standin/site"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	trafficRepeats     = 3
	trafficConcurrency = 32
	tokensPerRequest   = 400
	trafficTimeout     = 5 * time.Minute
	pacedTokenInterval = 20 * time.Millisecond
	pacedStreamTokens  = 100
	bookingDuration    = 4 * time.Second
)

type (
	// path is a path to the engine: direct, or through one or two routers.
	path struct {
		name    string
		address string
		key     string
	}

	// trafficBench is a deployment of two routers and one engine with the paths to the engine. The path through the engine's home
	// router has one hop, the other one two.
	trafficBench struct {
		deployment *embedded.Deployment
		client     *http.Client
		paths      []path
	}
)

// newTrafficBench starts two routers and one engine with the given time between tokens.
func newTrafficBench(tokenTime time.Duration) (*trafficBench, error) {
	config := site.DefaultConfig()
	config.Engines, config.Services, config.Unlimited = 1, 1, true
	config.Engine.Slots = 4096
	config.Engine.DecodePerToken, config.Engine.PrefillPerToken, config.Engine.BatchSlowdown = tokenTime, 0, 0
	d, err := embedded.Start(config, embedded.Options{Routers: 2, AdjustSettings: func(s *settings.Settings) { s.Routing.QueueLimit = 4096 }})
	if err != nil {
		return nil, err
	}
	b := &trafficBench{deployment: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048}}}
	key := d.Site.Organisations[0].Key
	b.paths = []path{{name: "direct", address: "http://" + d.Site.Engines[0].Address()}}
	for _, n := range d.Nodes() {
		p := path{name: "oneHop", address: "http://" + n.Router.CallerAddress(), key: key}
		if !n.Router.IsHome("engine-01") {
			p.name = "twoHops"
		}
		b.paths = append(b.paths, p)
	}
	return b, nil
}

func (b *trafficBench) close() { b.deployment.Close() }

func (b *trafficBench) path(name string) path {
	for _, p := range b.paths {
		if p.name == name {
			return p
		}
	}
	return path{}
}

// send sends one streamed chat with the given number of answer tokens and reads the answer to its end.
func (b *trafficBench) send(ctx context.Context, p path, tokens, n int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"user":"chat-%d","messages":[{"role":"user","content":"bell %d"}]}`, b.deployment.Site.Config.Model, tokens, n, n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	resp, err := b.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send chat")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read chat")
	}
	if !strings.HasSuffix(string(answer), "data: [DONE]\n\n") {
		return errors.Errorf("%s: answer without [DONE] event: %.200s", p.name, answer)
	}
	return nil
}

// load sends requests with the given concurrency and returns the CPU time that the process used for them.
func (b *trafficBench) load(p path, requests, tokens, concurrency int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), trafficTimeout)
	defer cancel()
	next := make(chan int, requests)
	for i := range requests {
		next <- i
	}
	close(next)
	var group sync.WaitGroup
	var mu sync.Mutex
	var failure error
	start := processCPU()
	for range concurrency {
		group.Go(func() {
			for i := range next {
				if err := b.send(ctx, p, tokens, i); err != nil {
					mu.Lock()
					failure = err
					mu.Unlock()
					return
				}
			}
		})
	}
	group.Wait()
	return processCPU() - start, failure
}

// Traffic measures the CPU time of the routers for each token and each request over one and two hops, and the size of event frames
// between routers.
func Traffic() ([]Slope, error) {
	b, err := newTrafficBench(0)
	if err != nil {
		return nil, err
	}
	defer b.close()
	if _, err := b.load(b.path("twoHops"), trafficConcurrency, tokensPerRequest, trafficConcurrency); err != nil {
		return nil, err
	}
	var slopes []Slope
	for _, m := range []struct {
		name   Name
		per    string
		path   string
		tokens int
		sizes  []int
	}{
		{"burstTokenOneHop", "token of a burst", "oneHop", tokensPerRequest, []int{100_000, 200_000, 400_000}},
		{"burstTokenTwoHops", "token of a burst", "twoHops", tokensPerRequest, []int{100_000, 200_000, 400_000}},
		{"requestOneHop", "request", "oneHop", 1, []int{4000, 8000, 16_000}},
		{"requestTwoHops", "request", "twoHops", 1, []int{4000, 8000, 16_000}},
	} {
		s := Slope{Name: m.name, Unit: CPUMicros, Per: m.per, Command: "go run . measure traffic"}
		s, err := fitSlope(s, m.sizes, trafficRepeats, func(size int) (float64, error) { return b.addedCPU(m.path, size/m.tokens, m.tokens) })
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	paced, err := pacedTokens()
	if err != nil {
		return nil, err
	}
	slopes = append(slopes, paced...)
	wireBytes, err := frameBytes()
	if err != nil {
		return nil, err
	}
	return append(slopes, wireBytes...), nil
}

// pacedTokens measures the CPU time for tokens that arrive one at a time in many streams, as from real engines.
func pacedTokens() ([]Slope, error) {
	b, err := newTrafficBench(pacedTokenInterval)
	if err != nil {
		return nil, err
	}
	defer b.close()
	var slopes []Slope
	for name, pathName := range map[Name]string{"pacedTokenOneHop": "oneHop", "pacedTokenTwoHops": "twoHops"} {
		s := Slope{Name: name, Unit: CPUMicros, Per: "token that comes by itself", Command: "go run . measure traffic"}
		s, err := fitSlope(s, []int{20_000, 40_000, 80_000}, trafficRepeats, func(size int) (float64, error) {
			streams := size / pacedStreamTokens
			direct, err := b.load(b.path("direct"), streams, pacedStreamTokens, streams)
			if err != nil {
				return 0, err
			}
			routed, err := b.load(b.path(pathName), streams, pacedStreamTokens, streams)
			return float64((routed - direct).Microseconds()), err
		})
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// addedCPU returns the CPU time of the routers in microseconds: the difference between a run through the routers and a run directly
// at the engine.
func (b *trafficBench) addedCPU(name string, requests, tokens int) (float64, error) {
	direct, err := b.load(b.path("direct"), requests, tokens, trafficConcurrency)
	if err != nil {
		return 0, err
	}
	routed, err := b.load(b.path(name), requests, tokens, trafficConcurrency)
	if err != nil {
		return 0, err
	}
	return float64((routed - direct).Microseconds()), nil
}

// frameBytes measures the size of a frame between routers by the number of its events.
func frameBytes() ([]Slope, error) {
	event := []byte(`{"id":"chatcmpl-ade8c85a09f9709616d9442d","object":"chat.completion.chunk","created":1796355809,"model":"bell-assistant","choices":[{"index":0,"delta":{"content":"2f18.0 "},"finish_reason":null}]}`)
	s := Slope{Name: "frameBytes", Unit: Bytes, Per: "token in a frame", Command: "go run . measure traffic"}
	s, err := fitSlope(s, []int{1, 4, 16, 64}, 1, func(size int) (float64, error) {
		items := make([][]byte, size)
		for i := range items {
			items[i] = event
		}
		return float64(len(wire.Encode(wire.Events{FirstOffset: 1000, Items: items})) + wire.HeaderBytes), nil
	})
	return []Slope{s}, err
}
