package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/store"
)

// pausedStore is a store to which the first call ends late and without an answer, as a process sees it that stood still meanwhile.
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

func TestWriteIsRetriedAfterProcessPause(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		stop    time.Duration
		written bool
	}{
		{"the store took too long", maxCallTime - time.Second, false},
		{"the process stood still", maxCallTime + time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			c := newCommitter(&pausedStore{pause: tt.stop})
			go c.loop(ctx)
			w := &write{key: "k", deadline: time.Now().Add(tt.stop - 500*time.Millisecond)}
			if got := c.submit(ctx, w); got.written != tt.written {
				t.Errorf("written is %v, %v", got.written, got.err)
			}
		})
	}
}
