package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/store"
)

// pausedStore is a store whose first call fails after a pause with an unknown outcome, as seen by a process that was paused meanwhile.
type pausedStore struct {
	store.Store
	pause time.Duration
	calls int
}

func (s *pausedStore) Grant(context.Context, time.Duration) (store.Lease, error) { return 1, nil }

func (s *pausedStore) Commit(context.Context, store.Txn) (store.Result, error) {
	s.calls++
	if s.calls == 1 {
		time.Sleep(s.pause)
		return store.Result{}, &store.OutcomeUnknownError{Cause: errors.New("deadline exceeded")}
	}
	return store.Result{Succeeded: true, Revision: 7}, nil
}

// TestWriteIsRetriedAfterProcessPause guards against failed writes after a pause of the process: the pause used up the time for retries
// although the store was available.
func TestWriteIsRetriedAfterProcessPause(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		pause   time.Duration
		written bool
	}{
		{"the store took too long", maxCallTime - time.Second, false},
		{"the process was paused", maxCallTime + time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			c := newCommitter(&pausedStore{pause: tt.pause})
			go c.loop(ctx)
			w := &write{key: "k", deadline: time.Now().Add(tt.pause - 500*time.Millisecond)}
			if got := c.submit(ctx, w); got.written != tt.written {
				t.Errorf("written is %t (error %v), want %t", got.written, got.err, tt.written)
			}
		})
	}
}
