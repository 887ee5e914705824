package memstore

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/process/entry"
	"github.com/vanillaroute/vanillaroute/version/mirror"
)

const (
	// maxPageItems is the maximum number of entries in a page.
	maxPageItems = 500
	// deliveryChunkBytes is the number of bytes that one reader receives before another one gets its turn.
	deliveryChunkBytes = 16 << 10
)

// ErrConflict is returned for a write whose condition does not hold.
var ErrConflict = errors.New("the key has changed")

var errUnavailable = errors.New("store unavailable")

type (
	// Store is a store that all instances of a fleet share.
	Store struct {
		mu                sync.Mutex
		entries           map[string]mirror.Entry
		history           []mirror.Entry
		compactedRevision ident.Revision
		revision          ident.Revision
		leases            int
		changed           chan struct{}
		calls             int
		down              bool
		// readBytesPerSecond is the total bandwidth of all readers; 0 means unlimited. The reader that is being served holds
		// deliveryMu.
		readBytesPerSecond float64
		deliveryMu         sync.Mutex
		// delivering is the number of replies that are being delivered, and deliveredUntil when the last delivery should have ended.
		delivering     int
		deliveredUntil time.Time
	}

	// Client is the connection of one instance to the store; it can be made to fail on its own.
	Client struct {
		store        *Store
		mu           sync.Mutex
		disconnected bool
		unresponsive bool
		calls        int
	}
)

// New returns an empty store.
func New() *Store {
	return &Store{entries: make(map[string]mirror.Entry), revision: 1, changed: make(chan struct{})}
}

// Client returns a new client of the store.
func (s *Store) Client() *Client { return &Client{store: s} }

// Put stores a value without a lease and returns its revision.
func (s *Store) Put(key string, value []byte) ident.Revision {
	return s.write(mirror.Entry{Key: key, Value: value})
}

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(mirror.Entry{Key: key, Deleted: true}) }

// SetDown makes the store unavailable to all clients, or available again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// SetReadBandwidth limits the total bandwidth of all readers, in bytes per second; 0 means unlimited.
func (s *Store) SetReadBandwidth(bytesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readBytesPerSecond = bytesPerSecond
}

// Compact drops the history up to the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// Calls returns the number of calls of all clients, except those of unresponsive clients.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetDisconnected makes all calls of the client fail immediately, or succeed again.
func (c *Client) SetDisconnected(disconnected bool) {
	c.mu.Lock()
	c.disconnected = disconnected
	c.mu.Unlock()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.notifyWatchers()
}

// SetUnresponsive makes all calls of the client block until their context ends, or makes them return normally again.
func (c *Client) SetUnresponsive(unresponsive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive = unresponsive
}

// Calls returns the number of calls of the client, including failed ones.
func (c *Client) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Read returns a page of the entries with the prefix whose keys are greater than after, in key order.
func (c *Client) Read(ctx context.Context, prefix, after string) (entry.Page, error) {
	if err := c.admitCall(ctx); err != nil {
		return entry.Page{}, err
	}
	page, err := c.page(prefix, after)
	if err != nil {
		return entry.Page{}, err
	}
	return page, c.store.throttle(ctx, page.Entries)
}

func (c *Client) page(prefix, after string) (entry.Page, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return entry.Page{}, err
	}
	var list []mirror.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b mirror.Entry) int { return strings.Compare(a.Key, b.Key) })
	end := min(len(list), maxPageItems)
	return entry.Page{Entries: list[:end], Revision: s.revision, More: end < len(list)}, nil
}

// Watch waits up to wait for changes after a revision and returns them, or none, with the current revision. It returns an
// *entry.CompactedError if the history after that revision has been dropped, and an *entry.IncompleteReplyError if ctx ends while the
// changes arrive.
func (c *Client) Watch(ctx context.Context, prefix string, after ident.Revision, wait time.Duration) ([]mirror.Entry, ident.Revision, error) {
	changes, at, err := c.watch(ctx, prefix, after, wait)
	if err != nil {
		return nil, 0, err
	}
	if err := c.store.throttle(ctx, changes); err != nil {
		return nil, 0, &entry.IncompleteReplyError{Cause: err}
	}
	return changes, at, nil
}

func (c *Client) watch(ctx context.Context, prefix string, after ident.Revision, wait time.Duration) ([]mirror.Entry, ident.Revision, error) {
	if err := c.admitCall(ctx); err != nil {
		return nil, 0, err
	}
	s := c.store
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	for timedOut := false; ; {
		if after < s.compactedRevision {
			return nil, 0, &entry.CompactedError{After: after}
		}
		if c.isDisconnected() || s.down {
			return nil, 0, errUnavailable
		}
		if c.isUnresponsive() {
			s.mu.Unlock()
			<-ctx.Done()
			s.mu.Lock()
			return nil, 0, ctx.Err()
		}
		changes := slices.DeleteFunc(slices.Clone(s.history), func(e mirror.Entry) bool {
			return e.Revision <= after || !strings.HasPrefix(e.Key, prefix)
		})
		if len(changes) > 0 || timedOut {
			return changes, s.revision, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			s.mu.Lock()
			return nil, 0, ctx.Err()
		}
		s.mu.Lock()
	}
}

// PutWithLease stores a value if the last change of the key is that of revision after, and returns a lease. Leases do not expire here.
func (c *Client) PutWithLease(ctx context.Context, key string, value []byte, after ident.Revision, _ time.Duration) (entry.Lease, error) {
	if err := c.admitCall(ctx); err != nil {
		return entry.Lease{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return entry.Lease{}, err
	}
	if after != entry.AnyRevision && c.store.entries[key].Revision != after {
		return entry.Lease{}, ErrConflict
	}
	c.store.leases++
	return entry.Lease{ID: strconv.Itoa(c.store.leases), Revision: c.store.writeLocked(mirror.Entry{Key: key, Value: value})}, nil
}

// PutUnderLease stores a value.
func (c *Client) PutUnderLease(ctx context.Context, key string, value []byte, _ string) error {
	_, err := c.PutWithLease(ctx, key, value, entry.AnyRevision, 0)
	return err
}

// RenewLease counts as a call and returns an error if the store is unavailable. It has no other effect, because leases do not
// expire here.
func (c *Client) RenewLease(ctx context.Context, _ string) error {
	if err := c.admitCall(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.checkAvailable()
}

// checkAvailable counts a call at the store and returns errUnavailable if the client cannot reach it. The caller must hold the
// lock of the store.
func (c *Client) checkAvailable() error {
	c.store.calls++
	if c.isDisconnected() || c.store.down {
		return errUnavailable
	}
	return nil
}

// admitCall counts a call of the client. If the client is unresponsive, it blocks until ctx ends and returns its error.
func (c *Client) admitCall(ctx context.Context) error {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	if !c.isUnresponsive() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (c *Client) isUnresponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unresponsive
}

func (c *Client) isDisconnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disconnected
}

func (s *Store) write(e mirror.Entry) ident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(e)
}

// writeLocked is write for a caller that holds mu.
func (s *Store) writeLocked(e mirror.Entry) ident.Revision {
	s.revision++
	e.Revision = s.revision
	if e.Deleted {
		delete(s.entries, e.Key)
	} else {
		s.entries[e.Key] = e
	}
	s.history = append(s.history, e)
	s.notifyWatchers()
	return s.revision
}

// throttle sleeps for the time that entries take at the limited bandwidth, in turns with other readers.
func (s *Store) throttle(ctx context.Context, entries []mirror.Entry) error {
	s.mu.Lock()
	bytesPerSecond := s.readBytesPerSecond
	s.mu.Unlock()
	if bytesPerSecond == 0 {
		return nil
	}
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Key) + len(e.Value)
	}
	s.countDelivering(1)
	defer s.countDelivering(-1)
	for ; bytes > 0 && ctx.Err() == nil; bytes -= deliveryChunkBytes {
		s.deliver(time.Duration(float64(min(bytes, deliveryChunkBytes)) / bytesPerSecond * float64(time.Second)))
	}
	return ctx.Err()
}

// deliver waits until a delivery that takes d, after the one before, has ended. A sleep that takes longer than it should does not delay the next
// delivery: on a busy machine, readers would get much less than the bandwidth otherwise.
func (s *Store) deliver(d time.Duration) {
	s.deliveryMu.Lock()
	defer s.deliveryMu.Unlock()
	s.mu.Lock()
	s.deliveredUntil = s.deliveredUntil.Add(d)
	until := s.deliveredUntil
	s.mu.Unlock()
	time.Sleep(time.Until(until))
}

// countDelivering counts a reply whose delivery begins (1) or ends (-1). A link without replies saves up no bandwidth.
func (s *Store) countDelivering(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delivering == 0 {
		s.deliveredUntil = time.Now()
	}
	s.delivering += change
}

// notifyWatchers wakes all waiting watches. The caller must hold s.mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
