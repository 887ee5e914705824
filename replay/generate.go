package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

// Mix says what a generated trace is made of; rates are in requests a second.
type Mix struct {
	Seed          uint64
	Duration      time.Duration
	Organisations int
	// Chats is how many chats return over and over.
	Chats int
	// Interactive, Standard and Long are the rates of chat requests by class.
	Interactive float64
	Standard    float64
	Long        float64
	// ServiceCalls is the rate of catalogue calls and bookings together.
	ServiceCalls float64
	// PeakFactor multiplies the rates from SwingFrom to SwingTo.
	PeakFactor float64
	PeakFrom   time.Duration
	PeakTo     time.Duration
	// Stragglers is the share of requests that run ten times as long.
	Stragglers float64
	// Expect is the outcome stated for every request.
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

// MuseumMix returns the museum's mix: kiosk answers, label drafts, provenance notes and the desk.
func MuseumMix(seed uint64, d time.Duration) Mix {
	return Mix{
		Seed: seed, Duration: d, Organisations: 10, Chats: 150, Interactive: 180, Standard: 40, Long: 6, ServiceCalls: 10,
		Stragglers: 0.01, Expect: Answered,
	}
}

// TrustMix returns the Trust's mix: species checks, banding summaries and band issues, with swings of five times.
func TrustMix(seed uint64, d time.Duration) Mix {
	m := MuseumMix(seed, d)
	m.Interactive, m.Standard, m.Long, m.ServiceCalls = 40, 20, 1, 20
	m.PeakFactor, m.PeakFrom, m.PeakTo = 5, d/2, d/2+2*time.Second
	return m
}

// Generate returns the trace of a mix; the same mix gives the same trace.
func Generate(m Mix) []Request {
	random := rand.New(rand.NewPCG(m.Seed, 0))
	turns := make(map[int]int)
	var trace []Request
	for _, stream := range []struct {
		class  ident.Class
		rate   float64
		tokens int
	}{{"interactive", m.Interactive, interactiveReplyTokens}, {"standard", m.Standard, standardReplyTokens}, {"long", m.Long, longReplyTokens}} {
		m.arrivals(random, stream.rate, func(at time.Duration) {
			chat := random.IntN(max(m.Chats, 1))
			prompt := min(firstPromptTokens+promptGrowthTokens*turns[chat], maxPromptTokens)
			turns[chat]++
			tokens := stream.tokens
			if stream.class != "long" && random.Float64() < m.Stragglers {
				tokens *= stragglerFactor
			}
			trace = append(trace, Request{
				AtMs: at.Milliseconds(), Kind: Chat, Organisation: organisationOf(chat, m.Organisations),
				Chat: ident.Chat(fmt.Sprintf("chat-%d", chat)), Class: stream.class, PrefixTokens: prefixTokens,
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

// arrivals calls add at random times of a rate.
func (m Mix) arrivals(random *rand.Rand, rate float64, add func(time.Duration)) {
	if rate <= 0 {
		return
	}
	for at := time.Duration(0); ; {
		now := rate
		if m.PeakFactor > 0 && at >= m.PeakFrom && at < m.PeakTo {
			now *= m.PeakFactor
		}
		at += time.Duration(random.ExpFloat64() / now * float64(time.Second))
		if at >= m.Duration {
			return
		}
		add(at)
	}
}

// organisationOf gives most chats to a few large organisations.
func organisationOf(chat, organisations int) ident.Organisation {
	n := chat % max(organisations, 1)
	if float64(chat%10) < largeOrganisationShare*10 {
		n = chat % min(largeOrganisations, max(organisations, 1))
	}
	return ident.Organisation(fmt.Sprintf("organisation-%02d", n+1))
}
