package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/queue"
)

var start = time.Unix(1000, 0)

func item(value string, org ident.Organisation, long bool) queue.Item[string] {
	return queue.Item[string]{Value: value, Organisation: org, Long: long, Cost: 10, Deadline: start.Add(time.Minute)}
}

func TestShortRequestsGoBeforeLong(t *testing.T) {
	q := queue.New[string](10, 0.5)
	q.Push(item("long", "a", true), start)
	q.Push(item("short", "a", false), start)
	got, ok := q.Pop(queue.Slots{Total: 1}, start)
	if !ok || got.Value != "short" {
		t.Errorf("got %q, want the short request", got.Value)
	}
}

func TestLongRequestsLeaveSlotsToShort(t *testing.T) {
	tests := []struct {
		name        string
		runningLong int
		at          time.Duration
		want        bool
	}{
		{"within its share", 1, 0, true},
		{"share used up while short requests arrive", 2, 0, false},
		{"no short request for ShortIdleTime", 2, queue.ShortIdleTime, true},
	}
	for _, tt := range tests {
		q := queue.New[string](10, 0.5)
		q.Push(item("short", "a", false), start)
		q.Pop(queue.Slots{Total: 4}, start)
		q.Push(item("long", "a", true), start)
		_, ok := q.Pop(queue.Slots{Total: 4, Running: 3, RunningLong: tt.runningLong}, start.Add(tt.at))
		if ok != tt.want {
			t.Errorf("%s: started %t, want %t", tt.name, ok, tt.want)
		}
	}
}

func TestLongRequestsAreNotStarved(t *testing.T) {
	q := queue.New[string](10, 0.5)
	q.Push(item("long", "a", true), start)
	late := start.Add(31 * time.Second)
	q.Push(item("short", "a", false), late)
	got, _ := q.Pop(queue.Slots{Total: 4}, late)
	if got.Value != "long" {
		t.Errorf("got %q, want the long request that has used up half of its time", got.Value)
	}
}

// TestOrganisationsShareByTokens guards against starvation of an organisation that sends two requests after another has sent twenty.
func TestOrganisationsShareByTokens(t *testing.T) {
	q := queue.New[string](100, 0.5)
	for i := range 20 {
		q.Push(item(fmt.Sprint("surge-", i), "surging", false), start)
	}
	q.Push(item("small-0", "small", false), start)
	q.Push(item("small-1", "small", false), start)
	pops := 0
	for served := 0; served < 2; pops++ {
		got, ok := q.Pop(queue.Slots{Total: 100}, start)
		if !ok {
			t.Fatal("the queue is empty before the small organisation was served")
		}
		if got.Organisation == "small" {
			served++
		}
	}
	if pops > 4 {
		t.Errorf("the small organisation's two requests were served after %d pops, want 4 at most", pops)
	}
}

func TestFullQueueRefusesAndLateRequestsExpire(t *testing.T) {
	q := queue.New[string](1, 0.5)
	if !q.Push(item("first", "a", false), start) || q.Push(item("second", "a", false), start) {
		t.Error("want one request taken and one refused")
	}
	if late := q.Expire(start.Add(time.Minute)); len(late) != 0 {
		t.Errorf("%d requests expired at their deadline, want none before it has passed", len(late))
	}
	if late := q.Expire(start.Add(time.Minute + 1)); len(late) != 1 || q.Len() != 0 {
		t.Errorf("%d requests expired, %d left", len(late), q.Len())
	}
}
