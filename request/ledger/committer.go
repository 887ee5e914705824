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
	// maxCallTime is the longest time that a call to the store takes: its time-out of 2 s plus 500 ms for a busy machine. If a call
	// takes longer, the process itself was paused.
	maxCallTime = 2500 * time.Millisecond
)

type (
	// committer writes records in batches, one transaction at a time. Writes that arrive meanwhile go into the next batch.
	committer struct {
		store   store.Store
		pending chan *write
		lease   *leaseKeeper
	}

	// write puts or removes one record if its entry still has the given revision.
	write struct {
		key      string
		value    []byte
		revision ident.Revision
		remove   bool
		// deadline is when the committer stops retrying; the outcome of the write is then unknown.
		deadline time.Time
		done     chan writeResult
	}

	// writeResult reports whether the write succeeded. If the revision did not match, found is the entry in the store.
	writeResult struct {
		written  bool
		revision ident.Revision
		found    store.Entry
		err      error
	}

	// leaseKeeper provides store leases that last at least as long as the records attached to them.
	leaseKeeper struct {
		mu        sync.Mutex
		store     store.Store
		current   store.Lease
		grantedAt time.Time
	}
)

func newCommitter(s store.Store) *committer {
	return &committer{store: s, pending: make(chan *write, 16*maxBatch), lease: &leaseKeeper{store: s}}
}

// submit queues a write and waits for its result.
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

// loop commits batches until ctx ends, at most one every commitSpacing to limit the write rate of the store.
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

// collectBatch adds the pending writes to the first one. A second write of the same key goes into a later batch.
func (c *committer) collectBatch(first *write) []*write {
	batch := []*write{first}
	seen := map[string]bool{first.key: true}
	for len(batch) < maxBatch {
		select {
		case w := <-c.pending:
			if seen[w.key] {
				go func() { c.pending <- w }()
				return batch
			}
			seen[w.key] = true
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// commit writes a batch. If conditions fail, it answers these writes and commits the others again.
func (c *committer) commit(ctx context.Context, batch []*write) {
	retry := &backoff.ExponentialBackOff{InitialInterval: minRetryDelay, MaxInterval: maxRetryDelay, Multiplier: 2}
	retry.Reset()
	for len(batch) > 0 {
		startedAt := time.Now()
		result, err := c.commitOnce(ctx, batch)
		now := time.Now()
		if err != nil {
			extendDeadlines(batch, now.Sub(startedAt)-maxCallTime)
			batch = failExpired(batch, err, now)
			if len(batch) == 0 {
				return
			}
			select {
			case <-time.After(retry.NextBackOff()):
			case <-ctx.Done():
				failExpired(batch, ctx.Err(), now.Add(RecordTTL))
				return
			}
			continue
		}
		if result.Succeeded {
			for _, w := range batch {
				w.done <- writeResult{written: true, revision: result.Revision}
			}
			return
		}
		batch = c.failConflicts(batch, result.Found)
	}
}

func (c *committer) commitOnce(ctx context.Context, batch []*write) (store.Result, error) {
	lease, err := c.lease.get(ctx, time.Now())
	if err != nil {
		return store.Result{}, err
	}
	var t store.Txn
	for _, w := range batch {
		t.Conditions = append(t.Conditions, store.Condition{Key: w.key, Revision: w.revision})
		t.Puts = append(t.Puts, store.Put{Key: w.key, Value: w.value, Lease: lease, Delete: w.remove})
	}
	return c.store.Commit(ctx, t)
}

// failConflicts answers the writes whose revision did not match and returns the others.
func (c *committer) failConflicts(batch []*write, found []store.Entry) []*write {
	entries := make(map[string]store.Entry, len(found))
	for _, e := range found {
		entries[e.Key] = e
	}
	var rest []*write
	for _, w := range batch {
		e := entries[w.key]
		if e.Revision == w.revision {
			rest = append(rest, w)
			continue
		}
		w.done <- writeResult{found: e}
	}
	return rest
}

// extendDeadlines extends the deadlines of the writes by the time for which the process was paused, if positive.
func extendDeadlines(batch []*write, paused time.Duration) {
	for _, w := range batch {
		w.deadline = w.deadline.Add(max(paused, 0))
	}
}

// failExpired answers the writes past their deadline with the error and returns the others.
func failExpired(batch []*write, err error, now time.Time) []*write {
	var rest []*write
	for _, w := range batch {
		if now.Before(w.deadline) {
			rest = append(rest, w)
			continue
		}
		w.done <- writeResult{err: err}
	}
	return rest
}

// get returns a lease that lasts for at least RecordTTL from now.
func (k *leaseKeeper) get(ctx context.Context, now time.Time) (store.Lease, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != 0 && now.Sub(k.grantedAt) < time.Hour {
		return k.current, nil
	}
	id, err := k.store.Grant(ctx, RecordTTL+2*time.Hour)
	if err != nil {
		return 0, errors.Wrap(err, "grant lease for records")
	}
	k.current, k.grantedAt = id, now
	return id, nil
}
