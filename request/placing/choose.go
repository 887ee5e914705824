package placing

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/evacuation"
	"github.com/vanillaroute/vanillaroute/version/rank"
)

const (
	// failureSmoothing is the weight of one response in the exponentially smoothed share of failures.
	failureSmoothing = 0.25
	// failureTolerance is the share of failures that does not move requests away, since the next engine has to read their prompts again.
	failureTolerance = 0.3
	// loadAllowance is how many requests above the bound an engine may hold, so that the bound has no effect on small counts.
	loadAllowance = 2
	// softBound times the mean load plus softAllowance is how many requests an engine may run before instances begin to avoid it.
	softBound     = 1.25
	softAllowance = 1
	// jitterTokens is the largest random cost, in tokens; it spreads requests over engines that hold equal parts of a prompt.
	jitterTokens = 60
	// loadPenaltyTokens is the delay that one running request causes another one, in tokens of prompt read.
	loadPenaltyTokens = 20
	// fetchShare is the cost of copying one token of a prompt between engines, in tokens read.
	fetchShare = 0.2
	// rankPenaltyTokens is the cost of each rank of an engine that does not hold the prompt. All instances compute the same ranks, so they
	// agree on an engine without communication. It outweighs ordinary differences in load: each further engine that reads a shared part delays
	// all requests there, and loads count requests that only write beside those whose prompts are still to be read.
	rankPenaltyTokens = 2000
	// domainPenaltyTokens is the cost of an engine in another failure domain.
	domainPenaltyTokens = 50
	// failurePenaltyTokens is the cost of an engine that fails all of its requests.
	failurePenaltyTokens = 20000
	// failurePenaltyLoad, domainPenaltyLoad and jitterLoad are the corresponding costs for plain services, in running requests.
	failurePenaltyLoad = 12
	domainPenaltyLoad  = 0.3
	jitterLoad         = 0.5
	// usualWeight is the weight of the usual load in an estimate, relative to that of the counts of one instance.
	usualWeight = 2
	// rateSmoothing is the weight of one sample in the measured prefill rate. Prompts of up to minRateTokens are not sampled.
	rateSmoothing = 0.1
	minRateTokens = 1000
)

// Tiers of engines, the preferred one first. An engine of a later tier is chosen only if no earlier tier has one.
const (
	withinBound tier = iota
	overBound
	// inBackoff is the tier of engines that could not be reached recently.
	inBackoff
	noTier
)

type (
	tier int

	// Request describes a request to place.
	Request struct {
		Service ident.Service
		// Parts are the parts of the prompt, empty for requests to plain services.
		Parts  []Part
		Domain ident.Domain
		// Instances is the number of instances that choose engines, including this one; 0 means 1.
		Instances int
		// Tried are the engines that were already tried for the request.
		Tried []ident.Engine
		// Evacuated are the failure domains whose engines get no requests.
		Evacuated *evacuation.Set
		// Continues is the version of the engine that began the stream which the request continues, or nil.
		Continues *engines.Version
	}

	// Choice is a chosen engine with the figures behind the choice.
	Choice struct {
		Engine engines.Engine
		// CachedTokens is the number of tokens of the prompt that the engine is assumed to hold.
		CachedTokens int
		// Source is an engine that holds FetchedTokens more of the prompt than the chosen one, or 0.
		Source        engines.Key
		FetchedTokens int
		// SourceGuessed reports that Source is only the preferred engine for the prompt, which may hold it.
		SourceGuessed bool
		// PrefillTokens is the number of tokens that the engine has to read before the first token of the answer.
		PrefillTokens int
		// EngineLoad is the estimated number of requests at the engine, and MeanLoad the mean over the engines of its service.
		EngineLoad float64
		MeanLoad   float64
		Cost       float64
		// Subject is the last shared part of the prompt, or 0, and Rank the rank of the engine for it. SpreadWidth is the number of engines over which
		// the subject is spread.
		Subject     PartID
		Rank        int
		SpreadWidth int
		// ReportedLoad is the load that the engine last reported to any instance, at ReportedAt, which is zero if it has reported none.
		ReportedLoad int
		ReportedAt   time.Time
		// Cold says that the request takes a part of the engine's warm-up rate.
		Cold bool
	}

	// Placement is a request that was placed at an engine and counts towards its load until End.
	Placement struct {
		table         *Table
		key           engines.Key
		service       ident.ServiceID
		prefillTokens int
		startedAt     time.Time
		ended         bool
	}
)

// Choose returns the engine with the lowest cost and counts the request towards its load. It returns false if no untried engine is left that takes
// requests and takes this one within its limit, or, while limits make the others crowded, without waiting for a slot.
func (t *Table) Choose(all *engines.List, r Request, now time.Time) (Choice, *Placement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := r.candidates(all)
	if len(list) == 0 {
		return Choice{}, nil, false
	}
	states := t.statesOf(list)
	loads, mean := t.loads(list, states, r, now)
	holders := t.prefixHolders(all, r, now)
	shared := sharedTokens(r.Parts)
	usual, crowded := t.crowding(states, loads, mean, now)
	// The same holds for those that accept requests while others do not.
	usual = max(usual, meanLoadOf(states, loads, func(s *engineState) bool { return s.accepts(now) }))
	limit := t.policy.LoadBound*usual + loadAllowance
	// Other instances decide on the same loads. Each draws its own limit, so that the probability of avoiding an engine grows with its load.
	limit -= t.avoidance(shared) * max(limit-t.softLimit(shared, usual), 0)
	best := Choice{Cost: math.Inf(1)}
	bestTier := noTier
	ranks := preferenceRanks(list, r.Parts)
	width := t.spreadWidth(r.Parts, r.Instances, len(list), mean, limit, now)
	slot := rand.IntN(width)
	for i, e := range list {
		if slices.Contains(r.Tried, e.ID) {
			continue
		}
		s := states[i]
		room := t.roomAt(e.Key, s, now)
		if !s.accepts(now) || room == noRoom || (crowded && isFull(e, loads[i])) {
			continue
		}
		c := t.cost(e, s, r, holders, loads[i], now)
		c.MeanLoad, c.Rank, c.SpreadWidth = mean, ranks[i], width
		// A prompt that is spread goes to the engine with the drawn rank; others cost as much as reading the shared parts again.
		switch {
		case width > 1 && ranks[i] != slot:
			c.Cost += float64(shared)
		case width == 1 && c.CachedTokens < shared:
			c.Cost += rankPenaltyTokens * float64(ranks[i])
		}
		tier := withinBound
		if loads[i] > limit || (room == toleratedRoom && !crowded) {
			tier = overBound
		}
		if now.Before(s.backoffUntil) {
			tier = inBackoff
		}
		if tier < bestTier || (tier == bestTier && c.Cost < best.Cost) {
			best, bestTier = c, tier
		}
	}
	if bestTier == noTier {
		return Choice{}, nil, false
	}
	if holders.longestTokens() < shared {
		best.guessSource(list, ranks)
	}
	best = t.withCold(best, now)
	return best, t.place(best, r, now), true
}

// HasUntried reports whether a service has an engine that is not evacuated, was not tried for a request and accepts it.
func (t *Table) HasUntried(all *engines.List, r Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(r.candidates(all), func(e engines.Engine) bool { return t.isUntried(e, r, now) })
}

// HasAlternative reports whether Choose would find an engine for a request that is worth giving up another one for: one in back-off is not.
func (t *Table) HasAlternative(all *engines.List, r Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := r.candidates(all)
	states := t.statesOf(list)
	loads, mean := t.loads(list, states, r, now)
	_, crowded := t.crowding(states, loads, mean, now)
	for i, e := range list {
		if crowded && isFull(e, loads[i]) {
			continue
		}
		if t.isUntried(e, r, now) && !now.Before(states[i].backoffUntil) {
			return true
		}
	}
	return false
}

func (t *Table) isUntried(e engines.Engine, r Request, now time.Time) bool {
	s := t.engineState(e.Key)
	return !slices.Contains(r.Tried, e.ID) && s.accepts(now) && t.roomAt(e.Key, s, now) != noRoom
}

// crowding returns the usual load of the engines, and whether those without a limit together are over the load bound.
func (t *Table) crowding(states []*engineState, loads []float64, mean float64, now time.Time) (usual float64, crowded bool) {
	// Engines without a limit take what exceeds those of the others, so their mean is the usual load.
	usual = max(mean, meanLoadOf(states, loads, func(s *engineState) bool { return !t.isLimited(s, now) }))
	return usual, usual > t.policy.LoadBound*mean+loadAllowance
}

// isFull reports whether all slots of an engine with that load are in use, as far as their number is known.
func isFull(e engines.Engine, load float64) bool { return e.Slots > 0 && load >= float64(e.Slots) }

func (t *Table) statesOf(list []engines.Engine) []*engineState {
	states := make([]*engineState, len(list))
	for i, e := range list {
		states[i] = t.engineState(e.Key)
	}
	return states
}

// guessSource sets the engine that all instances prefer for the prompt as its source if another engine was chosen.
func (c *Choice) guessSource(list []engines.Engine, ranks []int) {
	for i, e := range list {
		if ranks[i] == 0 && e.Key != c.Engine.Key {
			c.Source, c.SourceGuessed = e.Key, true
		}
	}
}

// PrefillDone records that the engine has read the prompt, and updates the measured prefill rate.
func (p *Placement) PrefillDone(now time.Time) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.prefillTokens > minRateTokens {
		if elapsed := now.Sub(p.startedAt).Milliseconds(); elapsed > 0 {
			t.prefillRate += rateSmoothing * (float64(p.prefillTokens)/float64(elapsed) - t.prefillRate)
		}
	}
	t.engineState(p.key).prefillTokens -= p.prefillTokens
	p.prefillTokens = 0
}

// PrefillTime returns the estimated time until the chosen engine sends the first token.
func (t *Table) PrefillTime(c Choice) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(c.PrefillTokens) / t.prefillRate * float64(time.Millisecond))
}

// End removes the request from the load of its engine. Only the first call has an effect.
func (p *Placement) End() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	s := p.table.engineState(p.key)
	s.running--
	p.table.service(p.service).own--
	s.prefillTokens -= p.prefillTokens
}

func (t *Table) place(c Choice, r Request, now time.Time) *Placement {
	key := c.Engine.Key
	placement := &Placement{table: t, key: key, service: r.Service.ID(), prefillTokens: totalTokens(r.Parts) - c.CachedTokens - c.FetchedTokens, startedAt: now}
	s := t.engineState(key)
	s.running++
	service := t.service(placement.service)
	service.own++
	service.usedAt = now
	s.sentSinceLatest++
	if s.limit.inForce(now) {
		s.limit.take()
	}
	t.takeColdToken(s, now)
	s.prefillTokens += placement.prefillTokens
	for i, p := range r.Parts {
		h := Holder{Part: p.ID, Engine: key, At: now}
		_, seen := t.parts.Peek(p.ID)
		t.recordHolder(h)
		// The last part is specific to the request unless it has been seen before, so it is not shared with other instances.
		if i < len(r.Parts)-1 || seen {
			t.recent = append(t.recent, h)
			t.countRequest(h)
		}
	}
	t.recordSize(sharedTokens(r.Parts))
	if len(r.Parts) > 1 && len(r.Tried) == 0 && surgeWidth(r.Instances) > 1 {
		t.recordPlaced(r.Parts[len(r.Parts)-2].ID, now)
	}
	if over := len(t.recent) - maxRecent; over > 0 {
		t.recent = append(t.recent[:0], t.recent[over:]...)
	}
	return placement
}

// loads returns the estimated number of requests at each engine and their mean. The older a reported load is, the less it says about
// the current one, so its weight shifts to this instance's own requests there and the usual number of those of others at that engine.
func (t *Table) loads(list []engines.Engine, states []*engineState, r Request, now time.Time) ([]float64, float64) {
	usualOfOthers := t.usualLoad(r, len(list), now)
	meanReported := meanReport(states, now)
	counts, reporting := t.remoteCounts(now)
	loads := make([]float64, len(list))
	sum := 0.0
	for i, e := range list {
		s := states[i]
		if now.Sub(s.latestLoadAt) >= reportTTL {
			loads[i] = float64(s.running) + remoteLoad(counts[e.Key], reporting, r.Instances-1, usualOfOthers)
		} else {
			usual := max(usualOfOthers+s.reports.excess(meanReported, now), 0) + float64(s.running)
			if t.isLimited(s, now) {
				// Its load does not rise with those of the engines that take what exceeds its limit.
				usual = min(usual, float64(s.latestLoad))
			}
			w := s.latestLoadWeight(now)
			loads[i] = w*float64(s.latestLoad+s.sentSinceLatest) + (1-w)*usual
		}
		sum += loads[i]
	}
	return loads, sum / float64(max(len(list), 1))
}

// remoteCounts returns the sums of the counts that other instances have sent recently, by engine, and the number of these instances.
func (t *Table) remoteCounts(now time.Time) (counts map[engines.Key]int, reporting int) {
	counts = make(map[engines.Key]int)
	for _, r := range t.remote {
		if now.Sub(r.at) >= remoteLoadTTL {
			continue
		}
		reporting++
		for key, requests := range r.loads {
			counts[key] += requests
		}
	}
	return counts, reporting
}

// remoteLoad estimates the requests of other instances at an engine that has not reported its load lately. It scales the sum of the
// counts of the reporting instances to all others. The fewer of the others these are, the more it relies on the usual number.
func remoteLoad(sum, reporting, others int, usual float64) float64 {
	if reporting >= others {
		return float64(sum)
	}
	scaled := float64(sum) * float64(others) / float64(max(reporting, 1))
	weight := usualWeight * float64(others-reporting) / float64(others)
	return (scaled*float64(reporting) + usual*weight) / (float64(reporting) + weight)
}

func (t *Table) cost(e engines.Engine, s *engineState, r Request, holders prefixHolders, load float64, now time.Time) Choice {
	c := Choice{Engine: e, EngineLoad: load, Subject: subjectOf(r.Parts), ReportedLoad: s.latestLoad, ReportedAt: s.latestLoadAt}
	slow := 1.0
	if s.report.Slowness > 0 && now.Sub(s.reportedAt) < slownessTTL {
		slow = max(s.report.Slowness, 1)
	}
	otherDomain := 0.0
	if e.Domain != r.Domain {
		otherDomain = 1
	}
	failing := max(s.decayedFailureShare(now)-failureTolerance, 0)
	if len(r.Parts) == 0 {
		c.Cost = slow*load + failurePenaltyLoad*s.decayedFailureShare(now) + domainPenaltyLoad*otherDomain + jitterLoad*rand.Float64()
		return c
	}
	c.CachedTokens = holders.tokens[e.Key]
	if holders.longestTokens() > c.CachedTokens {
		c.Source, c.FetchedTokens = holders.longestHolder, holders.longestTokens()-c.CachedTokens
	}
	c.PrefillTokens = totalTokens(r.Parts) - c.CachedTokens - c.FetchedTokens + s.prefillTokens
	work := float64(c.PrefillTokens) + fetchShare*float64(c.FetchedTokens) + loadPenaltyTokens*load
	c.Cost = slow*work + failurePenaltyTokens*failing + domainPenaltyTokens*otherDomain + jitterTokens*rand.Float64()
	return c
}

// prefixHolders are the engines that are assumed to hold a prefix of a prompt.
type prefixHolders struct {
	// tokens is the length of the prefix that each engine holds.
	tokens map[engines.Key]int
	// longestHolder is the engine with the longest prefix, the most recent one among equals; zero if there is none.
	longestHolder engines.Key
}

// longestTokens returns the length of the longest prefix in tokens.
func (c prefixHolders) longestTokens() int { return c.tokens[c.longestHolder] }

// prefixHolders returns the engines that hold a prefix of a prompt. An engine that holds a part also holds all parts before it.
func (t *Table) prefixHolders(all *engines.List, r Request, now time.Time) prefixHolders {
	parts := r.Parts
	c := prefixHolders{tokens: make(map[engines.Key]int)}
	sum := totalTokens(parts)
	for i := len(parts) - 1; i >= 0; i-- {
		known, ok := t.parts.Peek(parts[i].ID)
		if !ok {
			known = &partState{}
		}
		for _, h := range known.holders {
			if _, known := c.tokens[h.Engine]; known || now.Sub(h.At) >= holderTTL || !t.holds(h) {
				continue
			}
			if e, ok := all.Get(h.Engine); !ok || !r.mayHold(e, h.At) {
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

// sharedTokens returns the number of tokens of a prompt without its last part, which is specific to the request.
func sharedTokens(parts []Part) int { return totalTokens(parts[:max(len(parts)-1, 0)]) }

// preferenceRanks returns the rank of each engine for a prompt, which is the same at every instance. It ignores the last part, which is
// specific to the request.
func preferenceRanks(list []engines.Engine, parts []Part) []int {
	if len(parts) < 2 {
		return make([]int, len(list))
	}
	key := strconv.FormatUint(uint64(subjectOf(parts)), 16)
	candidates := rank.EqualWeights(list, func(e engines.Engine) string { return string(e.ID) })
	ranks := make([]int, len(list))
	for position, i := range rank.Order(key, candidates, len(candidates)) {
		ranks[i] = position
	}
	return ranks
}

// subjectOf returns the last part of a prompt that other requests share, or 0.
func subjectOf(parts []Part) PartID {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-2].ID
}

func totalTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}
