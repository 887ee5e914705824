package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/vanillaroute/vanillaroute/pause"
)

const (
	// meanSeriesInterval is the mean time between the starts of two series. Series last longer, so they overlap.
	meanSeriesInterval = 1500 * time.Millisecond
	// maxSeriesLength bounds the steps of a series, and meanStepInterval is the mean time between two steps.
	maxSeriesLength  = 8
	meanStepInterval = 100 * time.Millisecond
	// maxRestartDelay bounds how long an instance is away in a series of restarts.
	maxRestartDelay = 500 * time.Millisecond
)

// injectSeries starts series of restarts, changed settings and configurations for Options.Duration, in addition to the single faults, and
// waits for their ends. It has its own random numbers, so the single faults of a seed stay the same.
func (r *run) injectSeries(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, r.Seed+1))
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(r.Duration); time.Now().Before(end); {
		if !pause.For(ctx, randomAround(rng, meanSeriesInterval)) {
			return
		}
		kind, length := rng.IntN(3), 2+rng.IntN(maxSeriesLength-1)
		steps := rand.New(rand.NewPCG(rng.Uint64(), 0))
		r.recordFault(fmt.Sprintf("series of %d %s begins", length, [...]string{"restarts", "changed settings", "configurations"}[kind]))
		running.Go(func() {
			for step := range length {
				if err := r.injectStep(kind, step, steps, &running); err != nil {
					r.recordFault(err.Error())
				}
				if !pause.For(ctx, randomAround(steps, meanStepInterval)) {
					return
				}
			}
		})
	}
}

// injectStep injects one step of a series. A restart goes on in the background.
func (r *run) injectStep(kind, step int, rng *rand.Rand, running *sync.WaitGroup) error {
	n := r.instances[rng.IntN(len(r.instances))]
	switch kind {
	case 0:
		signal, delay := [...]syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[rng.IntN(2)], time.Duration(rng.Int64N(int64(maxRestartDelay)))
		running.Go(func() {
			if err := n.restart(signal, delay); err != nil {
				r.recordFault(err.Error())
			}
		})
		return nil
	case 1:
		err := n.changeSettings(fmt.Sprint("change ", step))
		n.signal(syscall.SIGHUP)
		return err
	default:
		return r.writeConfiguration(nil, 1)
	}
}

func randomAround(rng *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}
