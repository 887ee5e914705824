package capacity

import (
	"math"
	"time"

	"github.com/vanillaroute/vanillaroute/standin/measure"
	"github.com/vanillaroute/vanillaroute/wire"
)

type (
	// Row is a calculated value and the formula behind it.
	Row struct {
		Quantity string
		Value    float64
		Unit     string
		Source   string
	}

	// Role is a function that every router performs, with its mechanism and its cost.
	Role struct {
		Name      string
		Mechanism string
		Rows      []Row
	}

	// Check compares a total cost with its limit.
	Check struct {
		Name  string
		Value float64
		Limit float64
		Unit  string
	}

	// Page holds the cost of each role and the checks of the totals against their limits.
	Page struct {
		Roles  []Role
		Checks []Check
	}

	// calculator calculates the page and keeps the first error. The memory (bytes), sent (bytes per second) and cpu (microseconds per
	// second) are totals for the control of one router.
	calculator struct {
		target Target
		slopes measure.Slopes
		err    error
		page   Page
		memory float64
		sent   float64
		cpu    float64
	}
)

// WithinLimit reports whether the value does not exceed the limit.
func (c Check) WithinLimit() bool { return c.Value <= c.Limit }

// Compute calculates the page. It returns an error if a slope has not been measured.
func Compute(t Target, slopes measure.Slopes) (Page, error) {
	c := &calculator{target: t, slopes: slopes}
	c.entry()
	c.home()
	c.membership()
	c.configuration()
	c.limitAllocation()
	c.ledger()
	c.addresses()
	c.failures()
	c.checks()
	return c.page, c.err
}

func (c *calculator) slope(name measure.Name) float64 { return c.slopeOf(name).Slope }

// costAt returns the fitted cost at a size, or the highest measured cost if that is higher, which is the case if the cost does not
// grow with the size.
func (c *calculator) costAt(name measure.Name, size float64) float64 {
	s := c.slopeOf(name)
	highest := 0.0
	for _, sample := range s.Samples {
		highest = max(highest, sample.Cost)
	}
	return max(highest, s.Base+s.Slope*size)
}

func (c *calculator) slopeOf(name measure.Name) measure.Slope {
	s, err := c.slopes.Get(name)
	if err != nil && c.err == nil {
		c.err = err
	}
	return s
}

func (c *calculator) addRole(name, mechanism string, rows ...Row) {
	c.page.Roles = append(c.page.Roles, Role{name, mechanism, rows})
}

func (c *calculator) entry() {
	t := c.target
	requests := t.Requests / t.Routers
	tokens := t.Tokens / t.Routers
	perRequest := t.Tokens / t.Requests
	streams := requests * (perRequest*t.TokenGap + t.FirstToken)
	oneHop := (tokens*c.slope("pacedTokenOneHop") + requests*c.slope("requestOneHop")) / microsPerCore
	twoHops := (tokens*c.slope("pacedTokenTwoHops") + requests*c.slope("requestTwoHops")) / microsPerCore
	frames := tokens * (c.slope("frameBytes") + c.slopeOf("frameBytes").Base)
	c.addRole("Entry and relaying", "one goroutine per caller connection, frames are flushed when no more are queued, window of 128 events (connection/peer, request/relay)",
		Row{"requests per second, one router", requests, "1/s", "target requests / routers"},
		Row{"tokens per second, one router", tokens, "1/s", "target tokens / routers"},
		Row{"streams in progress, one router", streams, "", "requests × (tokens per request × 27 ms + 1.9 s)"},
		Row{"memory of streams", streams * c.slope("streamMemory") / megabyte, "MB", "streams × streamMemory (includes the test's caller and engine, so an upper bound)"},
		Row{"CPU, all requests at the engine's home", oneHop, "cores", "tokens × pacedTokenOneHop + requests × requestOneHop"},
		Row{"CPU, all requests over two routers, total of both", twoHops, "cores", "tokens × pacedTokenTwoHops + requests × requestTwoHops"},
		Row{"traffic between routers, all requests over two routers, one event per frame", frames * 8 / 1e6, "Mbit/s", "tokens × (frameBytes slope + base)"},
		Row{"traffic between routers, all requests over two routers, 16 events per frame", tokens * (c.slope("frameBytes") + c.slopeOf("frameBytes").Base/16) * 8 / 1e6, "Mbit/s", "tokens × (frameBytes slope + base / 16)"},
		Row{"CPU of the fleet, all requests over two routers", twoHops * t.Routers, "cores", "one router × routers"},
	)
}

func (c *calculator) home() {
	t := c.target
	engines := t.Engines / t.Routers
	overflows := engines * overflowsPerEngine * c.slope("spilledChatMemory")
	polls := engines * c.slope("pollBytes")
	c.memory += overflows + endedRunBytes
	c.sent += polls
	c.addRole("Home of engines", "rendezvous hashing within the engine's failure domain; one router keeps the exact load counts, the queue and the chats that overflowed to another engine (process/home)",
		Row{"engines, one home", engines, "", "engines / routers"},
		Row{"accelerators, one home", t.Accelerators / t.Routers, "", "accelerators / routers"},
		Row{"chats that overflowed to another engine, at most", engines * overflowsPerEngine, "", "engines × 4,096"},
		Row{"memory of chats that overflowed, at most", overflows / megabyte, "MB", "chats × spilledChatMemory"},
		Row{"memory of completed answers kept for resuming, at most", endedRunBytes / megabyte, "MB", "run.MaxBytes"},
		Row{"load report requests sent", polls, "bytes/s", "engines × pollBytes"},
		Row{"chats of the fleet per engine", t.Chats / t.Engines, "", "chats / engines; a chat that stays at its engine needs no state"},
		Row{"CPU for choosing engines, all requests of one router", t.Requests / t.Routers * c.costAt("pickCPU", t.Engines/t.Models) / microsPerCore, "cores", "requests × pickCPU at engines / models"},
	)
}

func (c *calculator) membership() {
	t := c.target
	memory := t.Routers*c.slope("memberMemory") + t.Engines*c.slope("engineMemory")
	events := (t.FailuresPerDay + 2*t.RestartsPerDay) * rebuildsPerEvent / secondsPerDay
	rebuild := t.Engines*c.slope("engineViewCPU") + t.Routers*c.slope("memberViewCPU")
	gossip := c.costAt("restBytes", t.Routers)
	idle := c.costAt("restCPU", t.Routers)
	listedInstances := t.Engines + t.Routers
	changesPerInstance := (t.FailuresPerDay + 2*t.RestartsPerDay) / secondsPerDay / listedInstances
	c.memory += memory
	c.sent += gossip
	c.cpu += events*rebuild + idle
	c.addRole("Membership", "each router exchanges heartbeats with two others every 250 ms and repeats each update a number of times that grows with the logarithm of the fleet size (version/fleet, process/router/gossip.go)",
		Row{"memory of the fleet view", memory / megabyte, "MB", "routers × memberMemory + engines × engineMemory"},
		Row{"gossip sent", gossip, "bytes/s", "restBytes, extrapolated from 36 routers; the highest measured value if it does not grow"},
		Row{"CPU for gossip and timers", idle / microsPerCore * 100, "% of a core", "restCPU, extrapolated from 36 routers; the highest measured value if it does not grow"},
		Row{"changes of the fleet view", events, "1/s", "(failures + 2 × restarts) × 3 states / day"},
		Row{"CPU for one change of the fleet view", rebuild / 1e3, "ms", "engines × engineViewCPU + routers × memberViewCPU"},
		Row{"CPU for changes of the fleet view", events * rebuild / microsPerCore * 100, "% of a core", "changes × CPU for one change"},
		Row{"time for an update to reach all routers, in rounds of 250 ms", gossipRounds(t.Routers), "rounds", "log of routers to base 1 + 2 × 2 exchanges"},
		Row{"size of the list of instances", listedInstances * instanceBytes / megabyte, "MB", "(engines + routers) × 200 bytes"},
		Row{"instances up to which reading the list stays within 4 KB/s", math.Sqrt(ControlBudget.Sent / (instanceBytes * changesPerInstance)), "", "square root of 4,096 / (200 bytes × changes per second of one instance)"},
		Row{"traffic for reading the list after each change, received", (t.FailuresPerDay + 2*t.RestartsPerDay) / secondsPerDay * listedInstances * instanceBytes / kilobyte, "KB/s", "changes per second × size of the list; it is read only if its ETag has changed"},
	)
}

func (c *calculator) configuration() {
	t := c.target
	memory := t.Organisations * c.slope("organisationMemory")
	changes := t.ChangesPerDay / secondsPerDay
	sent := changes * c.slope("changeBytes")
	watchers := t.Domains * watchersPerDomain
	c.memory += memory
	c.sent += sent
	c.addRole("Configuration", "two routers of each failure domain hold a lease and watch the store; the others receive changes by gossip, with repair by digests (version/config, process/router/configuration.go)",
		Row{"memory of plans and allowances", memory / megabyte, "MB", "organisations × organisationMemory"},
		Row{"changes", changes, "1/s", "target changes / day"},
		Row{"traffic sent for changes, one router", sent, "bytes/s", "changes × changeBytes (each router sends a change to three others, at any fleet size)"},
		Row{"open watches at the store", watchers, "calls", "domains × 2"},
		Row{"store writes for the leases of watchers", watchers / keepAliveSeconds, "1/s", "watches / 2 s"},
		Row{"store writes for changes", changes, "1/s", "one transaction per change"},
		Row{"store reads for router starts", (t.RestartsPerDay + t.FailuresPerDay) / secondsPerDay * listPages, "1/s", "starts per second × 6 pages of 1,000 entries"},
		Row{"router start during a store outage: sent by all peers", 2 * (t.Organisations + t.Models) * entryBytes / megabyte, "MB", "two copies of every entry × 300 bytes, over 16 × 2 peers"},
		Row{"router start during a store outage: sent by one peer", 2 * t.Organisations * entryBytes / 32 / kilobyte, "KB", "1/32 of two copies of the organisations' entries; the budget allows 32 KB at once"},
	)
}

func (c *calculator) limitAllocation() {
	t := c.target
	pairs := t.Organisations * routersPerOrganisation / t.Routers
	request := float64(len(wire.Encode(wire.Call{Share: &wire.ShareRequest{Router: "router-0001", Organisation: "organisation-0001", Requests: 12.5, Tokens: 900.25, Running: 12}})) + wire.HeaderBytes)
	grant := float64(len(wire.Encode(wire.Reply{Share: &wire.ShareGrant{Requests: 12.5, Tokens: 900.25, Concurrency: 12, Valid: time.Second}})) + wire.HeaderBytes)
	sent := pairs * (request + grant) / renewalSeconds
	c.sent += sent
	c.addRole("Limit allocation", "the home router of an organisation allocates shares of its limits to other routers by demand, for 5 s with renewal every 2 s; an organisation uses four routers (request/limits, connection/callers/addresses.go). Of a limit that is little used, a part stays unallocated for routers that take over the callers of a failed one",
		Row{"organisations, one allocator", t.Organisations / t.Routers, "", "organisations / routers"},
		Row{"shares held by one router", pairs, "", "organisations × 4 / routers"},
		Row{"share requests and grants, one router", sent, "bytes/s", "shares × encoded request and grant / 2 s"},
		Row{"size of a request and its grant", request + grant, "bytes", "encoded by package wire"},
		Row{"CPU for checking API keys, all requests of one router", t.Requests / t.Routers * c.slope("authentication") / microsPerCore * 100, "% of a core", "requests × authentication"},
	)
}

func (c *calculator) ledger() {
	writes := float64(ledgerRouters) / ledgerWriteIntervalSeconds
	c.addRole("Ledger of non-idempotent calls", "a few routers, chosen by hash, keep the records; each writes at most one batch every 25 ms (request/ledger)",
		Row{"store writes, at most", writes, "1/s", "ledger routers / 25 ms, at any fleet size"},
		Row{"records written, at most", writes * ledgerBatchRecords, "1/s", "writes × 50 records"},
		Row{"bookings, at most", writes * ledgerBatchRecords / 2, "1/s", "two records each: intent and outcome"},
		Row{"store writes per booking, below that rate", c.slope("storeWrites"), "", "storeWrites, over 1, 100 and 500 bookings per second"},
	)
}

func (c *calculator) addresses() {
	t := c.target
	c.addRole("Address lookups", "any router answers from its own fleet view: the four routers of an organisation, chosen by hash (connection/callers/addresses.go)",
		Row{"lookups per second, one router, with one lookup per request", t.Requests / t.Routers, "1/s", "requests / routers; callers cache the addresses for 10 s"},
		Row{"CPU for lookups, at most", t.Requests / t.Routers * c.slope("requestOneHop") / microsPerCore * 100, "% of a core", "requests × requestOneHop; a request takes more work than a lookup"},
	)
}

func (c *calculator) failures() {
	t := c.target
	streams := t.Requests / t.Routers * (t.Tokens/t.Requests*t.TokenGap + t.FirstToken)
	inDomain := t.Routers / t.Domains
	c.addRole("Failures", "rendezvous hashing moves homes to the other routers of the failure domain; streams resume by offset at the new home (request/relay, process/home)",
		Row{"instances failing", t.FailuresPerDay / 24, "1/h", "target failures / day"},
		Row{"instances restarted or replaced", t.RestartsPerDay / 24, "1/h", "target restarts / day"},
		Row{"streams resumed after the loss of one router", streams, "", "streams in progress, one router"},
		Row{"routers lost with one failure domain", inDomain, "", "routers / domains"},
		Row{"engines lost with one failure domain", t.Engines / t.Domains, "", "engines / domains"},
		Row{"streams moved after the loss of one failure domain", streams * inDomain, "", "streams × routers per domain"},
		Row{"routers of a region that is partitioned from the others", t.Routers / t.Regions, "", "routers / regions; each side of the partition uses its own engines"},
	)
}

// checks compares the totals with the limits.
func (c *calculator) checks() {
	t := c.target
	series := seriesLimit * c.slope("seriesMemory")
	c.memory += series
	c.page.Roles = append(c.page.Roles, Role{"Metrics", "histograms for at most 256 pairs of organisation and class; all other pairs share one (metrics)", []Row{
		{"memory of histograms, at most", series / megabyte, "MB", "256 × seriesMemory"},
	}})
	writes := float64(ledgerRouters)/ledgerWriteIntervalSeconds + t.Domains*watchersPerDomain/keepAliveSeconds + t.ChangesPerDay/secondsPerDay
	reads := (t.RestartsPerDay+t.FailuresPerDay)/secondsPerDay*listPages + t.Domains*watchersPerDomain
	list := (t.FailuresPerDay + 2*t.RestartsPerDay) / secondsPerDay * (t.Engines + t.Routers) * instanceBytes
	c.page.Checks = []Check{
		{"CPU for control, one router", c.cpu / microsPerCore * 100, ControlBudget.CPUShare * 100, "% of a core"},
		{"memory for control, one router", c.memory / megabyte, ControlBudget.Memory / megabyte, "MB"},
		{"control traffic sent, one router", c.sent, ControlBudget.Sent, "bytes/s"},
		{"list of instances, received by one router", list, ControlBudget.Sent, "bytes/s"},
		{"store writes, fleet", writes, KeyValueLimits.Writes, "1/s"},
		{"store reads and watches, fleet", reads, KeyValueLimits.Reads, "1/s"},
	}
}

// gossipRounds returns the number of gossip rounds until an update has reached all routers: in each round, every router that has
// it passes it to four more.
func gossipRounds(routers float64) float64 {
	n := 0.0
	for reached := 1.0; reached < routers; reached *= 1 + 2*2 {
		n++
	}
	return n
}
