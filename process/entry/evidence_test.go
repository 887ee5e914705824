package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

// manyNews returns news of as many requests, parts and ends, with the largest ids.
func manyNews(count, crashes int, now time.Time) news {
	var l news
	for i := range count {
		e := suspects.Evidence{ID: ^suspects.ID(i), AnsweredAt: now.Add(-time.Hour)}
		for c := range crashes {
			e.Crashes = append(e.Crashes, suspects.Crash{Engine: ^engines.Key(c), At: now.Add(-time.Hour)})
		}
		l.requests, l.parts = append(l.requests, e), append(l.parts, e)
		l.ends = append(l.ends, suspects.EngineEnd{Engine: ^engines.Key(i), At: now.Add(-time.Hour)})
	}
	return l
}

// TestNewsFitsInPacketsWithoutLoss guards against news that is cut off at a number, or sent in datagrams that links drop.
func TestNewsFitsInPacketsWithoutLoss(t *testing.T) {
	now := time.Now()
	base := heartbeat.Message{PeerAddress: "10.100.100.40:8229", CallerAddress: "10.100.100.40:8227", Domain: "a-long-failure-domain", Incarnation: 1 << 60, Revision: 1 << 40, ConfirmedAge: time.Hour}
	for _, crashes := range []int{1, 2, 8} {
		t.Run(fmt.Sprint(crashes, " crashes each"), func(t *testing.T) {
			const count = 100
			list := manyNews(count, crashes, now)
			requests, parts, ends := 0, 0, 0
			for !list.isEmpty() {
				some := list.takeSome()
				m := base
				m.Requests, m.Parts, m.Ends = encodeEvidence(some.requests, now), encodeEvidence(some.parts, now), encodeEnds(some.ends, now)
				if n := len(heartbeat.Encode(m)); n > heartbeat.MaxDatagramBytes {
					t.Fatalf("a message has %d bytes", n)
				}
				requests, parts, ends = requests+len(some.requests), parts+len(some.parts), ends+len(some.ends)
			}
			if requests != count || parts != count || ends != count {
				t.Errorf("sent are %d requests, %d parts and %d ends of %d", requests, parts, ends, count)
			}
		})
	}
}

// TestNewsOnRequestsLeavesBudgetForHeartbeats guards against instances that seem dead because a crash has brought evidence on many requests.
func TestNewsOnRequestsLeavesBudgetForHeartbeats(t *testing.T) {
	now := time.Now()
	spent := budget.New(now)
	for list := (news{requests: manyNews(400, 2, now).requests}); !list.isEmpty(); {
		m := heartbeat.Message{Requests: encodeEvidence(list.takeSome().requests, now)}
		for range newsFanOut {
			spent.Spend(budget.Suspects, len(heartbeat.Encode(m)), now)
		}
	}
	if !spent.Spend(budget.Membership, heartbeat.MaxDatagramBytes, now) {
		t.Error("the budget does not cover a heartbeat")
	}
}
