package upstream

import (
	"slices"
	"time"
)

// minShare is the smallest bound on the connections to an engine. With a single one, a request that must not be sent over the idle connection, or that runs
// for long, would block all others.
const minShare = 2

// decision says what happens to the connections to one engine.
type decision struct {
	// reused is the idle connection that carries the request, or nil.
	reused *conn
	// kept are the idle connections that remain, and closed those to close before another one is made.
	kept, closed []*conn
	// yielded is the number of those in closed that could have been kept without the bound.
	yielded int
	// full says that the connections in use leave no place for the request.
	full bool
}

// Share returns how many of the connections that an engine accepts from all instances together one instance may hold, or 0 if there is no bound.
func Share(maxConns, instances int) int {
	if maxConns <= 0 {
		return 0
	}
	return max(maxConns/max(instances, 1), minShare)
}

// decide chooses the connection for a request among the idle ones, the most recently used first. Without a reusable one, and unless the decision is full,
// a new connection is to be made. idle is changed in place; isQuiet reports whether an engine has neither closed a connection nor sent bytes over it.
func decide(idle []*conn, inUse int, r *Request, isQuiet func(*conn) bool, now time.Time) decision {
	d := decision{kept: idle}
	if r.MaxConns > 0 && inUse >= r.MaxConns {
		d.full = true
		d.yield(inUse + len(idle) - r.MaxConns)
		return d
	}
	for i := len(idle) - 1; i >= 0 && r.MaxIdle > 0 && d.reused == nil; i-- {
		c := d.kept[i]
		if c.hasFailed(r.ID) {
			continue
		}
		d.kept = slices.Delete(d.kept, i, i+1)
		if c.isFresh(r.MaxIdle, now) && isQuiet(c) {
			d.reused = c
		} else {
			d.closed = append(d.closed, c)
		}
	}
	if r.MaxConns > 0 {
		d.yield(inUse + 1 + len(d.kept) - r.MaxConns)
	}
	return d
}

// decideIdle removes the idle connections that have exceeded their idle time-out and those above the bound, unless that is 0. idle is changed in place.
func decideIdle(idle []*conn, inUse, bound int, now time.Time) decision {
	d := decision{kept: idle[:0]}
	for _, c := range idle {
		if now.Before(c.expiresAt()) {
			d.kept = append(d.kept, c)
		} else {
			d.closed = append(d.closed, c)
		}
	}
	if bound > 0 {
		d.yield(inUse + len(d.kept) - bound)
	}
	return d
}

// yield closes some of the kept connections, those whose idle time ends first.
func (d *decision) yield(over int) {
	for ; over > 0 && len(d.kept) > 0; over-- {
		first := 0
		for i, c := range d.kept {
			if c.expiresAt().Before(d.kept[first].expiresAt()) {
				first = i
			}
		}
		d.closed = append(d.closed, d.kept[first])
		d.kept = slices.Delete(d.kept, first, first+1)
		d.yielded++
	}
}
