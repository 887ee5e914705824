package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/store"
)

const (
	maxBatch      = 50
	commitSpacing = 25 * time.Millisecond
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxCallTime is how long a call to the store may take, its time limit of 2 s and half a second for a busy machine; where
	// one took longer, the process itself stood still.
	maxCallTime = 2500 * time.Millisecond
)

type (
	// committer writes records in groups: one transaction at a time, with whatever came meanwhile in the next.
	committer struct {
		store   store.Store
		pending chan *write
		lease   *leaseKeeper
	}

	// write is one record to be written where the entry is still of a revision.
	write struct {
		key      string
		value    []byte
		revision ident.Revision
		remove   bool
		// deadline is when the writer gives up, with the fate of the write unknown.
		deadline time.Time
		done     chan writeResult
	}

	// writeResult tells whether the condition held, and if not, what the store has.
	writeResult struct {
		written  bool
		revision ident.Revision
		found    store.Entry
		err      error
	}

	// leaseKeeper attaches records to leases that outlive them.
	leaseKeeper struct {
		mu      sync.Mutex
		store   store.Store
		current store.Lease
		granted time.Time
	}
)

func newCommitter(s store.Store) *committer {
	return &committer{store: s, pending: make(chan *write, 16*maxBatch), lease: &leaseKeeper{store: s}}
}

// submit queues a write and waits for its fate.
func (c *committer) submit(ctx context.Context, w *write) writeResult {
	w.done = make(chan writeResult, 1)
	select {
	case c.pending <- w:
	case <-ctx.Done():
		return writeResult{err: ctx.Err()}
	}
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
		return writeResult{err: ctx.Err()}
	}
}

// loop commits until ctx ends, with a spacing that bounds the store's write rate.
func (c *committer) loop(ctx context.Context) {
	spacing := time.NewTicker(commitSpacing)
	defer spacing.Stop()
	for {
		select {
		case w := <-c.pending:
			c.commit(ctx, c.collectBatch(w))
		case <-ctx.Done():
			return
		}
		select {
		case <-spacing.C:
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch takes what else waits; a second write of one key waits for the next group.
func (c *committer) collectBatch(first *write) []*write {
	group := []*write{first}
	seen := map[string]bool{first.key: true}
	for len(group) < maxBatch {
		select {
		case w := <-c.pending:
			if seen[w.key] {
				go func() { c.pending <- w }()
				return group
			}
			seen[w.key] = true
			group = append(group, w)
		default:
			return group
		}
	}
	return group
}

// commit writes the group; where some conditions fail those are told, and the rest is written again.
func (c *committer) commit(ctx context.Context, group []*write) {
	retry := &backoff.ExponentialBackOff{InitialInterval: minRetryDelay, MaxInterval: maxRetryDelay, Multiplier: 2}
	retry.Reset()
	for len(group) > 0 {
		began := time.Now()
		result, err := c.commitOnce(ctx, group)
		now := time.Now()
		if err != nil {
			extendDeadlines(group, now.Sub(began)-maxCallTime)
			group = failExpired(group, err, now)
			if len(group) == 0 {
				return
			}
			select {
			case <-time.After(retry.NextBackOff()):
			case <-ctx.Done():
				failExpired(group, ctx.Err(), now.Add(RecordTTL))
				return
			}
			continue
		}
		if result.Succeeded {
			for _, w := range group {
				w.done <- writeResult{written: true, revision: result.Revision}
			}
			return
		}
		group = c.failConflicts(group, result.Found)
	}
}

func (c *committer) commitOnce(ctx context.Context, group []*write) (store.Result, error) {
	lease, err := c.lease.get(ctx, time.Now())
	if err != nil {
		return store.Result{}, err
	}
	var t store.Txn
	for _, w := range group {
		t.Conditions = append(t.Conditions, store.Condition{Key: w.key, Revision: w.revision})
		t.Puts = append(t.Puts, store.Put{Key: w.key, Value: w.value, Lease: lease, Delete: w.remove})
	}
	return c.store.Commit(ctx, t)
}

// failConflicts answers the writes whose condition failed and returns the others.
func (c *committer) failConflicts(group []*write, found []store.Entry) []*write {
	entries := make(map[string]store.Entry, len(found))
	for _, e := range found {
		entries[e.Key] = e
	}
	var rest []*write
	for _, w := range group {
		e := entries[w.key]
		if e.Revision == w.revision {
			rest = append(rest, w)
			continue
		}
		w.done <- writeResult{found: e}
	}
	return rest
}

// extendDeadlines gives the writes back the time for which the process stood still, if it did.
func extendDeadlines(group []*write, stood time.Duration) {
	for _, w := range group {
		w.deadline = w.deadline.Add(max(stood, 0))
	}
}

// failExpired answers the writes whose time has passed and returns the others.
func failExpired(group []*write, err error, now time.Time) []*write {
	var rest []*write
	for _, w := range group {
		if now.Before(w.deadline) {
			rest = append(rest, w)
			continue
		}
		w.done <- writeResult{err: err}
	}
	return rest
}

// get returns a lease that lives for at least Life from now.
func (k *leaseKeeper) get(ctx context.Context, now time.Time) (store.Lease, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != 0 && now.Sub(k.granted) < time.Hour {
		return k.current, nil
	}
	id, err := k.store.Grant(ctx, RecordTTL+2*time.Hour)
	if err != nil {
		return 0, errors.Wrap(err, "grant lease for records")
	}
	k.current, k.granted = id, now
	return id, nil
}
