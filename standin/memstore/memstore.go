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
	// maxPageItems is how many items are on a page.
	maxPageItems = 500
	// deliveryChunkBytes is how many bytes go to one reader before it is another's turn.
	deliveryChunkBytes = 16 << 10
)

var errUnavailable = errors.New("the store does not answer")

type (
	// Store is shared by all instances of a fleet.
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
		// readBytesPerSecond is how many bytes go to all readers in a second, or 0 for any number; turn is held by the one that is served.
		readBytesPerSecond float64
		deliveryMu         sync.Mutex
	}

	// Client is the way of one instance to the store; it can be cut.
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

// Client returns a new way to the store.
func (s *Store) Client() *Client { return &Client{store: s} }

// Put stores a value and returns its revision.
func (s *Store) Put(key string, value []byte) ident.Revision {
	return s.write(mirror.Entry{Key: key, Value: value})
}

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(mirror.Entry{Key: key, Deleted: true}) }

// SetDown switches the store off for all, or on again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// SetReadBandwidth bounds the bytes that go to all readers in a second.
func (s *Store) SetReadBandwidth(bytesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readBytesPerSecond = bytesPerSecond
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetDisconnected switches one way to the store off or on again.
func (c *Client) SetDisconnected(cut bool) {
	c.mu.Lock()
	c.disconnected = cut
	c.mu.Unlock()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.notifyWatchers()
}

// SetUnresponsive lets calls of one way wait without an answer, or be answered again.
func (c *Client) SetUnresponsive(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive = silent
}

// Calls returns how many calls came this way.
func (c *Client) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Read returns a page of the entries below a prefix, in the order of keys.
func (c *Client) Read(ctx context.Context, prefix, after string) (entry.Page, error) {
	if err := c.admitCall(ctx); err != nil {
		return entry.Page{}, err
	}
	page, err := c.page(prefix, after)
	if err != nil {
		return entry.Page{}, err
	}
	return page, c.store.throttle(ctx, page)
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

// Watch returns the changes after a revision, or none after the wait.
func (c *Client) Watch(ctx context.Context, prefix string, after ident.Revision, wait time.Duration) ([]mirror.Entry, ident.Revision, error) {
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
	for ended := false; ; {
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
		news := slices.DeleteFunc(slices.Clone(s.history), func(e mirror.Entry) bool {
			return e.Revision <= after || !strings.HasPrefix(e.Key, prefix)
		})
		if len(news) > 0 || ended {
			return news, s.revision, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			s.mu.Lock()
			return nil, 0, ctx.Err()
		}
		s.mu.Lock()
	}
}

// PutWithLease stores a value; leases do not run out here.
func (c *Client) PutWithLease(ctx context.Context, key string, value []byte, _ time.Duration) (string, error) {
	if err := c.admitCall(ctx); err != nil {
		return "", err
	}
	c.store.mu.Lock()
	err := c.checkAvailable()
	c.store.leases++
	id := strconv.Itoa(c.store.leases)
	c.store.mu.Unlock()
	if err != nil {
		return "", err
	}
	c.store.Put(key, value)
	return id, nil
}

// RenewLease keeps a lease.
func (c *Client) RenewLease(ctx context.Context, _ string) error {
	if err := c.admitCall(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.checkAvailable()
}

// checkAvailable counts a call, and fails where the store cannot be reached; the store's lock is held.
func (c *Client) checkAvailable() error {
	c.store.calls++
	if c.isDisconnected() || c.store.down {
		return errUnavailable
	}
	return nil
}

// admitCall counts a call of this way, and fails as ctx does where none is answered.
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

// throttle takes the time that a page needs, in turns with other readers.
func (s *Store) throttle(ctx context.Context, p entry.Page) error {
	s.mu.Lock()
	pace := s.readBytesPerSecond
	s.mu.Unlock()
	if pace == 0 {
		return nil
	}
	bytes := 0
	for _, e := range p.Entries {
		bytes += len(e.Key) + len(e.Value)
	}
	for ; bytes > 0 && ctx.Err() == nil; bytes -= deliveryChunkBytes {
		s.deliveryMu.Lock()
		time.Sleep(time.Duration(float64(min(bytes, deliveryChunkBytes)) / pace * float64(time.Second)))
		s.deliveryMu.Unlock()
	}
	return ctx.Err()
}

// notifyWatchers lets all waiting watches look again.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
