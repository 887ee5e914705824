package queue

import (
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// ShortIdleTime is how long after the last short request long work may use all slots.
	ShortIdleTime = 2 * time.Second

	urgentShare = 0.5
)

type (
	// Item is a request that waits, with what decides its turn.
	Item[T any] struct {
		Value        T
		Organisation ident.Organisation
		// Long says that the request may take only a share of the slots while short work comes.
		Long bool
		// Cost is the expected length of the answer in tokens.
		Cost float64
		// Deadline is when the request must have started.
		Deadline time.Time
		Queued   time.Time
	}

	// Queue holds the waiting requests of one engine; its methods are not safe for concurrent use.
	Queue[T any] struct {
		limit       int
		longShare   float64
		short       fairQueue[T]
		long        fairQueue[T]
		lastShortAt time.Time
	}

	// Slots is how the engine's places are taken.
	Slots struct {
		Total       int
		Running     int
		RunningLong int
	}

	// fairQueue holds one kind of work as a list for each organisation, served by virtual time.
	fairQueue[T any] struct {
		flows       map[ident.Organisation]*flow[T]
		virtualTime float64
		count       int
	}

	flow[T any] struct {
		items         []Item[T]
		virtualFinish float64
	}
)

// New returns a queue of at most limit requests whose long work takes at most longShare of the slots while short work comes.
func New[T any](limit int, longShare float64) *Queue[T] {
	return &Queue[T]{
		limit:     limit,
		longShare: longShare,
		short:     fairQueue[T]{flows: make(map[ident.Organisation]*flow[T])},
		long:      fairQueue[T]{flows: make(map[ident.Organisation]*flow[T])},
	}
}

// Len returns how many requests wait.
func (q *Queue[T]) Len() int { return q.short.count + q.long.count }

// Push adds a request, and reports false where the queue is full.
func (q *Queue[T]) Push(item Item[T], now time.Time) bool {
	if !item.Long {
		q.lastShortAt = now
	}
	if q.Len() >= q.limit {
		return false
	}
	item.Queued = now
	if item.Long {
		q.long.push(item)
	} else {
		q.short.push(item)
	}
	return true
}

// Pop returns the request whose turn it is, if a slot is free for it.
func (q *Queue[T]) Pop(slots Slots, now time.Time) (Item[T], bool) {
	var none Item[T]
	if slots.Running >= slots.Total {
		return none, false
	}
	longMay := q.long.count > 0 && slots.RunningLong < q.longLimit(slots.Total, now)
	if longMay && (q.short.count == 0 || q.longUrgent(now)) {
		return q.long.pop(), true
	}
	if q.short.count > 0 {
		return q.short.pop(), true
	}
	return none, false
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	late := func(i Item[T]) bool { return now.After(i.Deadline) }
	return append(q.short.remove(late), q.long.remove(late)...)
}

// Remove removes and returns the requests that match.
func (q *Queue[T]) Remove(match func(T) bool) []Item[T] {
	matches := func(i Item[T]) bool { return match(i.Value) }
	return append(q.short.remove(matches), q.long.remove(matches)...)
}

// CostAhead returns the expected tokens that wait before a new request of that kind.
func (q *Queue[T]) CostAhead(long bool) float64 {
	cost := q.short.cost()
	if long {
		cost += q.long.cost()
	}
	return cost
}

// longLimit returns how many slots long work may take now, at least one.
func (q *Queue[T]) longLimit(total int, now time.Time) int {
	if q.short.count == 0 && now.Sub(q.lastShortAt) >= ShortIdleTime {
		return total
	}
	return max(1, int(q.longShare*float64(total)))
}

// longUrgent reports whether a long request has used up half of its time, so that short work cannot starve it.
func (q *Queue[T]) longUrgent(now time.Time) bool {
	for _, f := range q.long.flows {
		for _, i := range f.items {
			if float64(now.Sub(i.Queued)) >= urgentShare*float64(i.Deadline.Sub(i.Queued)) {
				return true
			}
		}
	}
	return false
}

func (l *fairQueue[T]) push(item Item[T]) {
	f, ok := l.flows[item.Organisation]
	if !ok {
		f = &flow[T]{virtualFinish: l.virtualTime}
		l.flows[item.Organisation] = f
	}
	f.items = append(f.items, item)
	l.count++
}

// pop serves the organisation whose virtual finish time is lowest, by name where equal.
func (l *fairQueue[T]) pop() Item[T] {
	var next *flow[T]
	var name ident.Organisation
	for org, f := range l.flows {
		if len(f.items) == 0 {
			continue
		}
		if next == nil || f.virtualFinish < next.virtualFinish || (f.virtualFinish == next.virtualFinish && org < name) {
			next, name = f, org
		}
	}
	item := next.items[0]
	next.items = next.items[1:]
	l.count--
	l.virtualTime = max(l.virtualTime, next.virtualFinish)
	next.virtualFinish = l.virtualTime + max(item.Cost, 1)
	l.removeIdle()
	return item
}

// removeIdle drops the organisations that wait for nothing and have no service to make up for.
func (l *fairQueue[T]) removeIdle() {
	for org, f := range l.flows {
		if len(f.items) == 0 && f.virtualFinish <= l.virtualTime {
			delete(l.flows, org)
		}
	}
	if l.count == 0 && len(l.flows) > 0 {
		for org, f := range l.flows {
			f.virtualFinish -= l.virtualTime
			if f.virtualFinish <= 0 {
				delete(l.flows, org)
			}
		}
		l.virtualTime = 0
	}
}

func (l *fairQueue[T]) remove(match func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	for _, f := range l.flows {
		kept := f.items[:0]
		for _, i := range f.items {
			if match(i) {
				removed = append(removed, i)
				continue
			}
			kept = append(kept, i)
		}
		f.items = kept
	}
	l.count -= len(removed)
	return removed
}

func (l *fairQueue[T]) cost() float64 {
	sum := 0.0
	for _, f := range l.flows {
		for _, i := range f.items {
			sum += i.Cost
		}
	}
	return sum
}
