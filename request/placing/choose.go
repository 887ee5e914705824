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
	// failureStep is the weight of one answer in the share of failures.
	failureStep = 0.25
	// tolerated is the share of failures that does not move requests away, since a move costs reading their prompts again.
	tolerated = 0.3
	// loadAllowance is how many requests above the bound an engine may hold, so that small counts don't bind.
	loadAllowance = 2
	// softBound and softAllowance are the multiple of the mean, and the requests beside, that an engine may hold before any is sent elsewhere.
	softBound     = 1.25
	softAllowance = 1
	// jitterTokens spreads instances over engines that hold a prompt alike.
	jitterTokens = 60
	// loadTokens is what one running request delays another one, in tokens of prompt read.
	loadTokens = 20
	// fetchShare is the cost of moving a token of a prompt between engines, in tokens read.
	fetchShare = 0.2
	// rankTokens is the cost of each engine that instances prefer for a prompt to one that doesn't hold it, so that they agree without a word.
	rankTokens = 600
	// newLoadTokens is the cost of each running request to a prompt that the engine does not hold, beside loadTokens: nothing is lost where
	// another engine reads it.
	newLoadTokens = 100
	// domainTokens is the cost of another failure domain.
	domainTokens = 50
	// failureTokens is the cost of an engine that fails all of its requests.
	failureTokens = 20000
	// failureLoad, domainLoad and spreadLoad are the same for plain services, in running requests.
	failureLoad = 12
	domainLoad  = 0.3
	spreadLoad  = 0.5
	// rateStep is the weight of one first answer in the learnt reading rate, and rateTokens the least that tells of it.
	rateStep   = 0.1
	rateTokens = 1000
)

// Tiers of engines: one of a lower tier is chosen before all of a higher one.
const (
	withinBound tier = iota
	overBound
	// held engines could not be reached lately.
	held
	none
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
		// Cached is how many tokens of the prompt the engine is taken to hold.
		Cached int
		// Source is an engine that holds more of the prompt, Fetched tokens beyond Cached, or 0.
		Source  engines.Key
		Fetched int
		// Guessed says that Source is only the engine that instances prefer for the prompt, which may hold it.
		Guessed bool
		// Reading is how many tokens the engine has to read before the first answer.
		Reading int
		// Load and Mean are the requests at the engine and at its service's engines on average.
		Load int
		Mean float64
		Cost float64
		// Others is how many more engines could be tried now.
		Others int
	}

	// Work is one request that runs at an engine.
	Work struct {
		table   *Table
		key     engines.Key
		reading int
		begun   time.Time
		ended   bool
	}
)

// Choose returns the engine of the least cost, and counts the request there; it reports false where there is no engine left to try.
func (t *Table) Choose(all *engines.List, r Request, now time.Time) (Choice, *Work, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := all.Of(r.Service)
	loads, mean := t.loads(list, r.Instances-1, now)
	known := t.copies(all, r.Parts, now)
	shared := sharedTokens(r.Parts)
	limit := t.policy.LoadBound*mean + loadAllowance
	// Other instances decide on the same figures, so each leaves a loaded engine with a chance that grows up to the limit.
	limit -= rand.Float64() * max(limit-softBound*mean-softAllowance, 0)
	best := Choice{Cost: math.Inf(1)}
	bestTier, others := none, 0
	order := preferences(list, r.Parts)
	division := t.division(r.Parts, len(list), mean, limit, now)
	turn := rand.IntN(division)
	for i, e := range list {
		if slices.Contains(r.Tried, e.ID) {
			continue
		}
		s := t.state(e.Key)
		c := t.cost(e, s, r, known, loads[i], now)
		c.Mean = mean
		switch {
		case division > 1 && order[i] != turn:
			c.Cost += float64(shared)
		case division == 1 && c.Cached < shared:
			c.Cost += rankTokens*float64(order[i]) + newLoadTokens*float64(loads[i])
		}
		tier := withinBound
		if float64(loads[i]) > limit {
			tier = overBound
		}
		if now.Before(s.heldUntil) {
			tier = held
		} else {
			others++
		}
		if tier < bestTier || (tier == bestTier && c.Cost < best.Cost) {
			best, bestTier = c, tier
		}
	}
	if bestTier == none {
		return Choice{}, nil, false
	}
	best.Others = max(others-1, 0)
	if known.most() < shared {
		best.guess(list, order)
	}
	return best, t.begin(best, r, now), true
}

// guess names the engine that all instances prefer for a prompt as its source, where another one was chosen.
func (c *Choice) guess(list []engines.Engine, order []int) {
	for i, e := range list {
		if order[i] == 0 && e.Key != c.Engine.Key {
			c.Source, c.Guessed = e.Key, true
		}
	}
}

// Started notes that the engine has read the prompt.
func (w *Work) Started(now time.Time) {
	t := w.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.reading > rateTokens {
		if took := now.Sub(w.begun).Milliseconds(); took > 0 {
			t.rate += rateStep * (float64(w.reading)/float64(took) - t.rate)
		}
	}
	t.state(w.key).reading -= w.reading
	w.reading = 0
}

// ReadingTime returns how long an engine is likely to read before the first answer of a request placed by the choice.
func (t *Table) ReadingTime(c Choice) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(c.Reading) / t.rate * float64(time.Millisecond))
}

// End notes that the engine no longer works on the request.
func (w *Work) End() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	s := w.table.state(w.key)
	s.running--
	s.reading -= w.reading
}

func (t *Table) begin(c Choice, r Request, now time.Time) *Work {
	key := c.Engine.Key
	w := &Work{table: t, key: key, reading: tokens(r.Parts) - c.Cached - c.Fetched, begun: now}
	s := t.state(key)
	s.running++
	s.begun++
	s.reading += w.reading
	for i, p := range r.Parts {
		h := Holder{Part: p.ID, Engine: key, At: now}
		_, seen := t.parts.Peek(p.ID)
		t.noteHolder(h)
		// The last part belongs to the request alone until it comes again.
		if i < len(r.Parts)-1 || seen {
			t.recent = append(t.recent, h)
			t.noteAsked(h)
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
	usual := t.usualLoad(list, now)
	loads := make([]int, len(list))
	sum := 0
	for i, e := range list {
		s := t.state(e.Key)
		if w := s.statedWeight(now); w > 0 {
			loads[i] = int(math.Round(w*float64(s.stated)+(1-w)*usual)) + s.begun
		} else {
			loads[i] = s.running + int(math.Round(t.remoteLoad(e.Key, others, now)))
		}
		sum += loads[i]
	}
	return loads, float64(sum) / float64(max(len(list), 1))
}

// usualLoad returns the mean of the loads that engines have stated, the late ones counting more.
func (t *Table) usualLoad(list []engines.Engine, now time.Time) float64 {
	sum, weights := 0.0, 0.0
	for _, e := range list {
		s := t.state(e.Key)
		w := s.statedWeight(now)
		sum += w * float64(s.stated)
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
		if now.Sub(r.at) < remoteLife {
			sum += r.loads[key]
			heard++
		}
	}
	return float64(sum) * float64(max(others, heard)) / float64(max(heard, 1))
}

func (t *Table) cost(e engines.Engine, s *state, r Request, known copies, load int, now time.Time) Choice {
	c := Choice{Engine: e, Load: load}
	slow := 1.0
	if s.report.Slowness > 0 && now.Sub(s.reportedAt) < slownessLife {
		slow = max(s.report.Slowness, 1)
	}
	away := 0.0
	if e.Domain != r.Domain {
		away = 1
	}
	failing := max(s.failure(now)-tolerated, 0)
	if len(r.Parts) == 0 {
		c.Cost = slow*float64(load) + failureLoad*s.failure(now) + domainLoad*away + spreadLoad*rand.Float64()
		return c
	}
	c.Cached = known.tokens[e.Key]
	if known.most() > c.Cached {
		c.Source, c.Fetched = known.longest, known.most()-c.Cached
	}
	c.Reading = tokens(r.Parts) - c.Cached - c.Fetched + s.reading
	work := float64(c.Reading) + fetchShare*float64(c.Fetched) + loadTokens*float64(load)
	c.Cost = slow*work + failureTokens*failing + domainTokens*away + jitterTokens*rand.Float64()
	return c
}

// copies are how many tokens of a prompt engines are taken to hold.
type copies struct {
	tokens map[engines.Key]int
	// longest is the engine that holds the most, the latest one of equals, where there is one.
	longest engines.Key
}

// most returns the tokens that the engine with the most holds.
func (c copies) most() int { return c.tokens[c.longest] }

// copies returns which engines hold how much of a prompt; one that holds a part holds those before it.
func (t *Table) copies(all *engines.List, parts []Part, now time.Time) copies {
	c := copies{tokens: make(map[engines.Key]int)}
	sum := tokens(parts)
	for i := len(parts) - 1; i >= 0; i-- {
		known, ok := t.parts.Peek(parts[i].ID)
		if !ok {
			known = &knownPart{}
		}
		for _, h := range known.holders {
			if _, known := c.tokens[h.Engine]; known || now.Sub(h.At) >= holderLife {
				continue
			}
			if _, ok := all.Get(h.Engine); !ok {
				continue
			}
			if len(c.tokens) == 0 {
				c.longest = h.Engine
			}
			c.tokens[h.Engine] = sum
		}
		sum -= parts[i].Tokens
	}
	return c
}

// sharedTokens returns the tokens of a prompt without the request's own part.
func sharedTokens(parts []Part) int { return tokens(parts[:max(len(parts)-1, 0)]) }

// preferences returns the rank of each engine for a prompt, the same at every instance; the request's own part is left out.
func preferences(list []engines.Engine, parts []Part) []int {
	if len(parts) < 2 {
		return make([]int, len(list))
	}
	key := strconv.FormatUint(uint64(parts[len(parts)-2].ID), 16)
	candidates := rank.Equal(list, func(e engines.Engine) string { return string(e.ID) })
	order := make([]int, len(list))
	for place, i := range rank.Order(key, candidates, len(candidates)) {
		order[i] = place
	}
	return order
}

func tokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}
