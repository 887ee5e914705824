package placing

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/rank"
)

const (
	// failureSmoothing is the weight of one answer in the share of failures.
	failureSmoothing = 0.25
	// failureTolerance is the share of failures that does not move requests away, since a move costs reading their prompts again.
	failureTolerance = 0.3
	// loadAllowance is how many requests above the bound an engine may hold, so that small counts don't bind.
	loadAllowance = 2
	// softBound and softAllowance are the multiple of the mean, and the requests beside, that an engine may hold before any is sent elsewhere.
	softBound     = 1.25
	softAllowance = 1
	// jitterTokens spreads instances over engines that hold a prompt alike.
	jitterTokens = 60
	// loadPenaltyTokens is what one running request delays another one, in tokens of prompt read.
	loadPenaltyTokens = 20
	// fetchShare is the cost of moving a token of a prompt between engines, in tokens read.
	fetchShare = 0.2
	// rankPenaltyTokens is the cost of each engine that instances prefer for a prompt to one that doesn't hold it, so that they agree without a word.
	rankPenaltyTokens = 600
	// uncachedLoadPenaltyTokens is the cost of each running request to a prompt that the engine does not hold, beside loadTokens: nothing is lost where
	// another engine reads it.
	uncachedLoadPenaltyTokens = 100
	// domainPenaltyTokens is the cost of another failure domain.
	domainPenaltyTokens = 50
	// failurePenaltyTokens is the cost of an engine that fails all of its requests.
	failurePenaltyTokens = 20000
	// failurePenaltyLoad, domainLoad and spreadLoad are the same for plain services, in running requests.
	failurePenaltyLoad = 12
	domainPenaltyLoad  = 0.3
	jitterLoad         = 0.5
	// rateSmoothing is the weight of one first answer in the learnt reading rate, and rateTokens the least that tells of it.
	rateSmoothing = 0.1
	minRateTokens = 1000
)

// Tiers of engines: one of a lower tier is chosen before all of a higher one.
const (
	withinBound tier = iota
	overBound
	// inBackoff engines could not be reached lately.
	inBackoff
	noTier
)

type (
	tier int

	// Request is what a choice is made for.
	Request struct {
		Service ident.Service
		// Parts are the parts of the prompt; empty for requests of plain services.
		Parts  []Part
		Domain ident.Domain
		// Instances is how many instances choose engines, this one included; 0 is 1.
		Instances int
		// Tried are engines that had the request before.
		Tried []ident.Engine
	}

	// Choice is an engine with what decided for it.
	Choice struct {
		Engine engines.Engine
		// CachedTokens is how many tokens of the prompt the engine is taken to hold.
		CachedTokens int
		// Source is an engine that holds more of the prompt, Fetched tokens beyond Cached, or 0.
		Source        engines.Key
		FetchedTokens int
		// SourceGuessed says that Source is only the engine that instances prefer for the prompt, which may hold it.
		SourceGuessed bool
		// PrefillTokens is how many tokens the engine has to read before the first answer.
		PrefillTokens int
		// EngineLoad and Mean are the requests at the engine and at its service's engines on average.
		EngineLoad int
		MeanLoad   float64
		Cost       float64
		// Alternatives is how many more engines could be tried now.
		Alternatives int
	}

	// Placement is one request that runs at an engine.
	Placement struct {
		table         *Table
		key           engines.Key
		prefillTokens int
		startedAt     time.Time
		ended         bool
	}
)

// Choose returns the engine of the least cost, and counts the request there; it reports false where there is no engine left to try.
func (t *Table) Choose(all *engines.List, r Request, now time.Time) (Choice, *Placement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := all.OfService(r.Service)
	loads, mean := t.loads(list, r.Instances-1, now)
	known := t.prefixHolders(all, r.Parts, now)
	shared := sharedTokens(r.Parts)
	limit := t.policy.LoadBound*mean + loadAllowance
	// Other instances decide on the same figures, so each leaves a loaded engine with a chance that grows up to the limit.
	limit -= rand.Float64() * max(limit-softBound*mean-softAllowance, 0)
	best := Choice{Cost: math.Inf(1)}
	bestTier, others := noTier, 0
	order := preferenceRanks(list, r.Parts)
	division := t.spreadWidth(r.Parts, len(list), mean, limit, now)
	turn := rand.IntN(division)
	for i, e := range list {
		if slices.Contains(r.Tried, e.ID) {
			continue
		}
		s := t.engineState(e.Key)
		c := t.cost(e, s, r, known, loads[i], now)
		c.MeanLoad = mean
		switch {
		case division > 1 && order[i] != turn:
			c.Cost += float64(shared)
		case division == 1 && c.CachedTokens < shared:
			c.Cost += rankPenaltyTokens*float64(order[i]) + uncachedLoadPenaltyTokens*float64(loads[i])
		}
		tier := withinBound
		if float64(loads[i]) > limit {
			tier = overBound
		}
		if now.Before(s.backoffUntil) {
			tier = inBackoff
		} else {
			others++
		}
		if tier < bestTier || (tier == bestTier && c.Cost < best.Cost) {
			best, bestTier = c, tier
		}
	}
	if bestTier == noTier {
		return Choice{}, nil, false
	}
	best.Alternatives = max(others-1, 0)
	if known.longestTokens() < shared {
		best.guessSource(list, order)
	}
	return best, t.place(best, r, now), true
}

// guessSource names the engine that all instances prefer for a prompt as its source, where another one was chosen.
func (c *Choice) guessSource(list []engines.Engine, order []int) {
	for i, e := range list {
		if order[i] == 0 && e.Key != c.Engine.Key {
			c.Source, c.SourceGuessed = e.Key, true
		}
	}
}

// PrefillDone notes that the engine has read the prompt.
func (w *Placement) PrefillDone(now time.Time) {
	t := w.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.prefillTokens > minRateTokens {
		if took := now.Sub(w.startedAt).Milliseconds(); took > 0 {
			t.prefillRate += rateSmoothing * (float64(w.prefillTokens)/float64(took) - t.prefillRate)
		}
	}
	t.engineState(w.key).prefillTokens -= w.prefillTokens
	w.prefillTokens = 0
}

// PrefillTime returns how long an engine is likely to read before the first answer of a request placed by the choice.
func (t *Table) PrefillTime(c Choice) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(c.PrefillTokens) / t.prefillRate * float64(time.Millisecond))
}

// End notes that the engine no longer works on the request.
func (w *Placement) End() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	s := w.table.engineState(w.key)
	s.running--
	s.prefillTokens -= w.prefillTokens
}

func (t *Table) place(c Choice, r Request, now time.Time) *Placement {
	key := c.Engine.Key
	w := &Placement{table: t, key: key, prefillTokens: totalTokens(r.Parts) - c.CachedTokens - c.FetchedTokens, startedAt: now}
	s := t.engineState(key)
	s.running++
	s.sentSinceLatest++
	s.prefillTokens += w.prefillTokens
	for i, p := range r.Parts {
		h := Holder{Part: p.ID, Engine: key, At: now}
		_, seen := t.parts.Peek(p.ID)
		t.recordHolder(h)
		// The last part belongs to the request alone until it comes again.
		if i < len(r.Parts)-1 || seen {
			t.recent = append(t.recent, h)
			t.countRequest(h)
		}
	}
	if over := len(t.recent) - maxRecent; over > 0 {
		t.recent = append(t.recent[:0], t.recent[over:]...)
	}
	return w
}

// loads returns the requests at each engine, by all that is known, and their mean. A load that was stated a while ago tells little of
// the present one, so that it counts less and the usual load more.
func (t *Table) loads(list []engines.Engine, others int, now time.Time) ([]int, float64) {
	usual := t.meanReportedLoad(list, now)
	loads := make([]int, len(list))
	sum := 0
	for i, e := range list {
		s := t.engineState(e.Key)
		if w := s.latestLoadWeight(now); w > 0 {
			loads[i] = int(math.Round(w*float64(s.latestLoad)+(1-w)*usual)) + s.sentSinceLatest
		} else {
			loads[i] = s.running + int(math.Round(t.remoteLoad(e.Key, others, now)))
		}
		sum += loads[i]
	}
	return loads, float64(sum) / float64(max(len(list), 1))
}

// meanReportedLoad returns the mean of the loads that engines have stated, the late ones counting more.
func (t *Table) meanReportedLoad(list []engines.Engine, now time.Time) float64 {
	sum, weights := 0.0, 0.0
	for _, e := range list {
		s := t.engineState(e.Key)
		w := s.latestLoadWeight(now)
		sum += w * float64(s.latestLoad)
		weights += w
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// remoteLoad returns the requests of other instances at an engine that states no load itself: those of whom word has come lately
// stand for all others.
func (t *Table) remoteLoad(key engines.Key, others int, now time.Time) float64 {
	sum, heard := 0, 0
	for _, r := range t.remote {
		if now.Sub(r.at) < remoteLoadTTL {
			sum += r.loads[key]
			heard++
		}
	}
	return float64(sum) * float64(max(others, heard)) / float64(max(heard, 1))
}

func (t *Table) cost(e engines.Engine, s *engineState, r Request, known prefixHolders, load int, now time.Time) Choice {
	c := Choice{Engine: e, EngineLoad: load}
	slow := 1.0
	if s.report.Slowness > 0 && now.Sub(s.reportedAt) < slownessTTL {
		slow = max(s.report.Slowness, 1)
	}
	away := 0.0
	if e.Domain != r.Domain {
		away = 1
	}
	failing := max(s.decayedFailureShare(now)-failureTolerance, 0)
	if len(r.Parts) == 0 {
		c.Cost = slow*float64(load) + failurePenaltyLoad*s.decayedFailureShare(now) + domainPenaltyLoad*away + jitterLoad*rand.Float64()
		return c
	}
	c.CachedTokens = known.tokens[e.Key]
	if known.longestTokens() > c.CachedTokens {
		c.Source, c.FetchedTokens = known.longestHolder, known.longestTokens()-c.CachedTokens
	}
	c.PrefillTokens = totalTokens(r.Parts) - c.CachedTokens - c.FetchedTokens + s.prefillTokens
	work := float64(c.PrefillTokens) + fetchShare*float64(c.FetchedTokens) + loadPenaltyTokens*float64(load)
	c.Cost = slow*work + failurePenaltyTokens*failing + domainPenaltyTokens*away + jitterTokens*rand.Float64()
	return c
}

// prefixHolders are how many tokens of a prompt engines are taken to hold.
type prefixHolders struct {
	tokens map[engines.Key]int
	// longestHolder is the engine that holds the most, the latest one of equals, where there is one.
	longestHolder engines.Key
}

// longestTokens returns the tokens that the engine with the most holds.
func (c prefixHolders) longestTokens() int { return c.tokens[c.longestHolder] }

// prefixHolders returns which engines hold how much of a prompt; one that holds a part holds those before it.
func (t *Table) prefixHolders(all *engines.List, parts []Part, now time.Time) prefixHolders {
	c := prefixHolders{tokens: make(map[engines.Key]int)}
	sum := totalTokens(parts)
	for i := len(parts) - 1; i >= 0; i-- {
		known, ok := t.parts.Peek(parts[i].ID)
		if !ok {
			known = &partState{}
		}
		for _, h := range known.holders {
			if _, known := c.tokens[h.Engine]; known || now.Sub(h.At) >= holderTTL {
				continue
			}
			if _, ok := all.Get(h.Engine); !ok {
				continue
			}
			if len(c.tokens) == 0 {
				c.longestHolder = h.Engine
			}
			c.tokens[h.Engine] = sum
		}
		sum -= parts[i].Tokens
	}
	return c
}

// sharedTokens returns the tokens of a prompt without the request's own part.
func sharedTokens(parts []Part) int { return totalTokens(parts[:max(len(parts)-1, 0)]) }

// preferenceRanks returns the rank of each engine for a prompt, the same at every instance; the request's own part is left out.
func preferenceRanks(list []engines.Engine, parts []Part) []int {
	if len(parts) < 2 {
		return make([]int, len(list))
	}
	key := strconv.FormatUint(uint64(parts[len(parts)-2].ID), 16)
	candidates := rank.EqualWeights(list, func(e engines.Engine) string { return string(e.ID) })
	order := make([]int, len(list))
	for place, i := range rank.Order(key, candidates, len(candidates)) {
		order[i] = place
	}
	return order
}

func totalTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}
