package queue

import (
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// ShortIdleTime is the time after the last short request from which long requests may use all slots.
	ShortIdleTime = 2 * time.Second

	// urgentShare is the share of its waiting time after which a long request goes before short ones.
	urgentShare = 0.5
)

type (
	// Item is a waiting request with the properties that decide its order.
	Item[T any] struct {
		Value        T
		Organisation ident.Organisation
		// Long requests take only a share of the slots while short requests arrive.
		Long bool
		// Cost is the expected length of the answer in tokens.
		Cost float64
		// Deadline is the latest start of the request.
		Deadline time.Time
		// Queued is when the request was added; Push sets it.
		Queued time.Time
	}

	// Queue holds the waiting requests of one engine. It is not safe for concurrent use.
	Queue[T any] struct {
		limit       int
		longShare   float64
		short       fairQueue[T]
		long        fairQueue[T]
		lastShortAt time.Time
	}

	// Slots counts the slots of an engine and the requests that use them.
	Slots struct {
		Total       int
		Running     int
		RunningLong int
	}

	// fairQueue is a fair queue with one flow for each organisation, served in order of virtual finish time.
	fairQueue[T any] struct {
		flows       map[ident.Organisation]*flow[T]
		virtualTime float64
		count       int
	}

	// flow holds the waiting requests of one organisation. Its virtual finish time grows by the cost of each request served.
	flow[T any] struct {
		items         []Item[T]
		virtualFinish float64
	}
)

// New returns a queue of at most limit requests. While short requests arrive, long ones take at most longShare of the slots.
func New[T any](limit int, longShare float64) *Queue[T] {
	return &Queue[T]{
		limit:     limit,
		longShare: longShare,
		short:     fairQueue[T]{flows: make(map[ident.Organisation]*flow[T])},
		long:      fairQueue[T]{flows: make(map[ident.Organisation]*flow[T])},
	}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.short.count + q.long.count }

// Push adds a request; it returns false if the queue is full.
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

// Pop removes and returns the next request; it returns false if none waits or no slot is free for one.
func (q *Queue[T]) Pop(slots Slots, now time.Time) (Item[T], bool) {
	var none Item[T]
	if slots.Running >= slots.Total {
		return none, false
	}
	longAllowed := q.long.count > 0 && slots.RunningLong < q.longLimit(slots.Total, now)
	if longAllowed && (q.short.count == 0 || q.longUrgent(now)) {
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

// Remove removes and returns the requests for which match returns true.
func (q *Queue[T]) Remove(match func(T) bool) []Item[T] {
	matches := func(i Item[T]) bool { return match(i.Value) }
	return append(q.short.remove(matches), q.long.remove(matches)...)
}

// CostAhead returns the expected number of answer tokens of the requests that are served before a new long or short one.
func (q *Queue[T]) CostAhead(long bool) float64 {
	cost := q.short.cost()
	if long {
		cost += q.long.cost()
	}
	return cost
}

// longLimit returns the number of slots that long requests may take now, at least one.
func (q *Queue[T]) longLimit(total int, now time.Time) int {
	if q.short.count == 0 && now.Sub(q.lastShortAt) >= ShortIdleTime {
		return total
	}
	return max(1, int(q.longShare*float64(total)))
}

// longUrgent reports whether a long request has waited for urgentShare of its time; it prevents starvation by short requests.
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

// pop serves the organisation with the lowest virtual finish time, the first by name among equals.
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

// removeIdle removes the organisations that have no waiting request and are not ahead of the virtual time. If no request waits at all, it
// resets the virtual time to 0.
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
