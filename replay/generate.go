package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

// Mix describes a generated trace. Rates are in requests per second.
type Mix struct {
	Seed          uint64
	Duration      time.Duration
	Organisations int
	// Chats is the number of different chats; each of them sends many requests.
	Chats int
	// Interactive, Standard and Long are the rates of chat requests by class.
	Interactive float64
	Standard    float64
	Long        float64
	// ServiceCalls is the total rate of catalogue calls and bookings.
	ServiceCalls float64
	// PeakFactor multiplies the rates from PeakFrom to PeakTo; 0 means no peak.
	PeakFactor float64
	PeakFrom   time.Duration
	PeakTo     time.Duration
	// Stragglers is the share of interactive and standard chat requests whose answers are ten times as long.
	Stragglers float64
	// Expect is the expected outcome of every request.
	Expect Expect
}

const (
	prefixTokens           = 64
	firstPromptTokens      = 400
	promptGrowthTokens     = 100
	maxPromptTokens        = 1600
	interactiveReplyTokens = 24
	standardReplyTokens    = 40
	longReplyTokens        = 400
	stragglerFactor        = 10
	bookingShare           = 0.3
	largeOrganisationShare = 0.7
	largeOrganisations     = 3
)

// MuseumMix returns the mix of the trace "museum": kiosk answers (interactive), label drafts (standard), provenance notes (long) and
// calls of the booking service.
func MuseumMix(seed uint64, d time.Duration) Mix {
	return Mix{
		Seed: seed, Duration: d, Organisations: 10, Chats: 150, Interactive: 180, Standard: 40, Long: 6, ServiceCalls: 10,
		Stragglers: 0.01, Expect: Answered,
	}
}

// TrustMix returns the mix of the trace "trust": species checks, banding summaries and band issues, with a peak of five times the
// rates for two seconds from the middle on.
func TrustMix(seed uint64, d time.Duration) Mix {
	m := MuseumMix(seed, d)
	m.Interactive, m.Standard, m.Long, m.ServiceCalls = 40, 20, 1, 20
	m.PeakFactor, m.PeakFrom, m.PeakTo = 5, d/2, d/2+2*time.Second
	return m
}

// Generate returns the trace of a mix. The same mix always gives the same trace.
func Generate(m Mix) []Request {
	random := rand.New(rand.NewPCG(m.Seed, 0))
	turns := make(map[int]int)
	var trace []Request
	for _, class := range []struct {
		name   ident.Class
		rate   float64
		tokens int
	}{{"interactive", m.Interactive, interactiveReplyTokens}, {"standard", m.Standard, standardReplyTokens}, {"long", m.Long, longReplyTokens}} {
		m.arrivals(random, class.rate, func(at time.Duration) {
			chat := random.IntN(max(m.Chats, 1))
			prompt := min(firstPromptTokens+promptGrowthTokens*turns[chat], maxPromptTokens)
			turns[chat]++
			tokens := class.tokens
			if class.name != "long" && random.Float64() < m.Stragglers {
				tokens *= stragglerFactor
			}
			trace = append(trace, Request{
				AtMs: at.Milliseconds(), Kind: Chat, Organisation: organisationOf(chat, m.Organisations),
				Chat: ident.Chat(fmt.Sprintf("chat-%d", chat)), Class: class.name, PrefixTokens: prefixTokens,
				PromptTokens: prompt, MaxTokens: tokens, Expect: m.Expect,
			})
		})
	}
	m.arrivals(random, m.ServiceCalls, func(at time.Duration) {
		q := Request{AtMs: at.Milliseconds(), Kind: Catalogue, Organisation: organisationOf(random.IntN(100), m.Organisations), Expect: m.Expect}
		if random.Float64() < bookingShare {
			q.Kind = Booking
			q.Key = fmt.Sprintf("booking-%d-%d", m.Seed, len(trace))
		}
		trace = append(trace, q)
	})
	slices.SortStableFunc(trace, func(a, b Request) int { return int(a.AtMs - b.AtMs) })
	return trace
}

// arrivals calls add with the random arrival times of a Poisson process at the rate, which is multiplied during the peak.
func (m Mix) arrivals(random *rand.Rand, rate float64, add func(time.Duration)) {
	if rate <= 0 {
		return
	}
	for at := time.Duration(0); ; {
		current := rate
		if m.PeakFactor > 0 && at >= m.PeakFrom && at < m.PeakTo {
			current *= m.PeakFactor
		}
		at += time.Duration(random.ExpFloat64() / current * float64(time.Second))
		if at >= m.Duration {
			return
		}
		add(at)
	}
}

// organisationOf returns the organisation of a chat; a few large organisations have most of the chats.
func organisationOf(chat, organisations int) ident.Organisation {
	n := chat % max(organisations, 1)
	if float64(chat%10) < largeOrganisationShare*10 {
		n = chat % min(largeOrganisations, max(organisations, 1))
	}
	return ident.Organisation(fmt.Sprintf("organisation-%02d", n+1))
}
