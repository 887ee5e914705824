package placing

import (
	"maps"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/decay"
)

// serviceTTL is how long the requests at a service are counted after the last of this instance's own.
const serviceTTL = 10 * time.Second

// serviceRunning is what an instance knows of the requests in progress at all engines of a service.
type serviceRunning struct {
	// own is the number of this instance's requests, and usedAt when the last of them began.
	own    int
	usedAt time.Time
	// sum is the sum of the counts of other instances in recent messages, and messages the number of these. Both decay.
	sum, messages decay.Count
}

// Running returns the number of this instance's own requests at each service that it has used lately.
func (t *Table) Running(now time.Time) map[ident.ServiceID]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := make(map[ident.ServiceID]int, len(t.services))
	for id, s := range t.services {
		if s.inUse(now) {
			running[id] = s.own
		}
	}
	return running
}

// MergeRunning counts what another instance has in progress. Services that it does not name have none.
func (t *Table) MergeRunning(running map[ident.ServiceID]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range running {
		t.service(id)
	}
	for id, s := range t.services {
		s.sum.Add(float64(running[id]), now)
		s.messages.Add(1, now)
	}
}

// usualLoad returns the mean number of requests of other instances at an engine of a service: each has about as many as those in recent messages.
func (t *Table) usualLoad(r Request, engines int, now time.Time) float64 {
	s := t.service(r.Service.ID())
	messages := s.messages.At(now)
	if messages == 0 {
		return 0
	}
	return s.sum.At(now) / messages * float64(max(r.Instances-1, 0)) / float64(max(engines, 1))
}

func (t *Table) service(id ident.ServiceID) *serviceRunning {
	s, ok := t.services[id]
	if !ok {
		s = &serviceRunning{}
		t.services[id] = s
	}
	return s
}

// pruneServices forgets services that have not been used lately.
func (t *Table) pruneServices(now time.Time) {
	maps.DeleteFunc(t.services, func(_ ident.ServiceID, s *serviceRunning) bool { return !s.inUse(now) && s.messages.At(now) < 1 })
}

func (s *serviceRunning) inUse(now time.Time) bool {
	return s.own > 0 || now.Sub(s.usedAt) < serviceTTL
}
