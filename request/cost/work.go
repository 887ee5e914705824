package cost

import "time"

type (
	// Work is what a request needs of an engine. What is not known is 0.
	Work struct {
		// Read is the number of prompt tokens that the engine has not cached.
		Read int
		// Write is the usual number of tokens of such an answer, and LeastWrite one that few answers stay below.
		Write, LeastWrite float64
		// Memory is the number of tokens that the engine holds for the request at its end.
		Memory int
		// Plain is how long an answer takes that is not written in events, and LeastPlain a time that few answers stay below.
		Plain, LeastPlain time.Duration
	}

	// Speed is how fast an engine works. What is not known is 0.
	Speed struct {
		// TokensPerMs is the number of prompt tokens that it reads in a millisecond.
		TokensPerMs float64
		// TokenTime is the time in which it usually writes a token of an answer, beside others, and LeastTokenTime one that few answers stay below.
		TokenTime, LeastTokenTime time.Duration
		// Slowness is the present duration of work relative to the usual one; 0 means 1.
		Slowness float64
	}
)

// TimeAt returns how long the answer usually takes at an engine of that speed at which nothing waits.
func (w Work) TimeAt(s Speed) time.Duration {
	return s.slowed(w.Plain + s.reading(w.Read) + s.writing(w.Write))
}

// LeastTimeAt returns a time that few answers stay below at an engine of that speed.
func (w Work) LeastTimeAt(s Speed) time.Duration {
	return s.slowed(w.LeastPlain + s.reading(w.Read) + time.Duration(w.LeastWrite*float64(s.LeastTokenTime)))
}

// FirstAt returns how long the first token of the answer usually takes, or the whole answer of a plain service.
func (w Work) FirstAt(s Speed) time.Duration { return s.slowed(w.Plain + s.reading(w.Read)) }

// EngineTimeAt returns the engine time that the request takes from others: a step writes a token for each of the batch requests that run, while a prompt
// is read alone.
func (w Work) EngineTimeAt(s Speed, batch float64) time.Duration {
	return w.Plain + s.reading(w.Read) + time.Duration(float64(s.writing(w.Write))/max(batch, 1))
}

func (s Speed) reading(tokens int) time.Duration {
	if s.TokensPerMs <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.TokensPerMs * float64(time.Millisecond))
}

func (s Speed) writing(tokens float64) time.Duration {
	return time.Duration(tokens * float64(s.TokenTime))
}

func (s Speed) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(s.Slowness, 1))
}
