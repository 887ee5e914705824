package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/store"
)

// ErrHeld reports that another router holds the key.
var ErrHeld = errors.New("another router holds the lease")

// Lease is a key that this process holds until its lease ends. It is not safe for concurrent use.
type Lease struct {
	store store.Store
	id    store.Lease
	ttl   time.Duration
	// renewedAt is when the last successful renewal was sent, on the monotonic clock.
	renewedAt time.Time
	// Fence is the fencing number, which increases with each new holder.
	Fence ident.Revision
}

// Acquire creates the key under a new lease. now is the time of the call; the lease counts from then, and
// so never longer than in the store. Acquire fails with ErrHeld if the key exists, or with an error of the store.
func Acquire(ctx context.Context, s store.Store, key string, holder ident.Router, ttl time.Duration, now time.Time) (*Lease, error) {
	id, err := s.Grant(ctx, ttl)
	if err != nil {
		return nil, err
	}
	result, err := s.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key}},
		Puts:       []store.Put{{Key: key, Value: []byte(holder), Lease: id}},
	})
	if err != nil {
		return nil, err
	}
	if !result.Succeeded {
		return nil, ErrHeld
	}
	return &Lease{store: s, id: id, ttl: ttl, renewedAt: now, Fence: result.Revision}, nil
}

// Renew extends the lease, which then counts from now, the time of the call. It fails with store.ErrLeaseLost if the lease has ended, or with
// another error of the store.
func (l *Lease) Renew(ctx context.Context, now time.Time) error {
	if err := l.store.KeepAlive(ctx, l.id); err != nil {
		return err
	}
	l.renewedAt = now
	return nil
}

// ValidFor reports whether the lease lasts for at least margin from now. It does not ask the store.
func (l *Lease) ValidFor(now time.Time, margin time.Duration) bool {
	return now.Add(margin).Before(l.renewedAt.Add(l.ttl))
}
