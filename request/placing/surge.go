package placing

import "time"

const (
	// surgeInterval is the longest interval between two requests of one instance for a subject that start a surge. In a large fleet, two
	// requests for an ordinary subject rarely arrive so close together at one instance.
	surgeInterval = 100 * time.Millisecond
	// surgeDuration is how long a surge lasts. After it, the counts of requests are accurate.
	surgeDuration = time.Second
	// instancesPerSurgeEngine is the number of instances for each engine over which a surging subject is spread. Each instance may place a
	// request before it learns of those of others, and an engine stays below its bound with so many.
	instancesPerSurgeEngine = 6
)

// surge is a sudden rise of the requests for a subject, which instances learn of before their counts show it.
type surge struct {
	// placedAt is when this instance last placed a request for the subject.
	placedAt time.Time
	until    time.Time
}

// surgeWidth returns the number of engines over which a surging subject is spread at least.
func surgeWidth(instances int) int { return max(instances/instancesPerSurgeEngine, 1) }

// MergeSurges starts the surges of subjects that another instance has sent.
func (t *Table) MergeSurges(subjects []PartID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range subjects {
		t.startSurge(id, now)
	}
}

// TakeNewSurges returns the subjects whose surges have started since the last call, for sending to other instances. A receiver sends them on,
// so that all instances learn of a surge within a few messages.
func (t *Table) TakeNewSurges() []PartID {
	t.mu.Lock()
	defer t.mu.Unlock()
	subjects := t.newSurges
	t.newSurges = nil
	return subjects
}

// SurgeStarted returns a channel that receives a value when TakeNewSurges has something to return.
func (t *Table) SurgeStarted() <-chan struct{} { return t.surgeStarted }

// recordPlaced starts a surge if this instance has placed two requests for the subject within surgeInterval.
func (t *Table) recordPlaced(subject PartID, now time.Time) {
	known, ok := t.parts.Peek(subject)
	if !ok {
		return
	}
	previous := known.surge.placedAt
	known.surge.placedAt = now
	if !previous.IsZero() && now.Sub(previous) <= surgeInterval {
		t.startSurge(subject, now)
	}
}

func (t *Table) startSurge(subject PartID, now time.Time) {
	known, ok := t.parts.Get(subject)
	if !ok {
		known = &partState{}
		t.parts.Add(subject, known)
	}
	if now.Before(known.surge.until) {
		return
	}
	known.surge.until = now.Add(surgeDuration)
	t.newSurges = append(t.newSurges, subject)
	select {
	case t.surgeStarted <- struct{}{}:
	default:
	}
}
