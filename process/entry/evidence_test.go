package entry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

// wideMessage is a heartbeat whose fields are as large as they may become.
var wideMessage = heartbeat.Message{
	PeerAddress: "10.100.100.40:8229", CallerAddress: "10.100.100.40:8227", Domain: "a-long-failure-domain", Incarnation: 1 << 60, Revision: 1 << 40, ConfirmedAge: time.Hour,
}

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
	for _, crashes := range []int{1, 2, 8} {
		t.Run(fmt.Sprint(crashes, " crashes each"), func(t *testing.T) {
			const count = 100
			list := manyNews(count, crashes, now)
			requests, parts, ends := 0, 0, 0
			for !list.isEmpty() {
				some := list.takeSome()
				m := wideMessage
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

// TestAnnouncementsLeaveBudgetForHeartbeats guards against instances that hear nothing of each other, or of the loads of engines, while engines come and go
// in quick succession.
func TestAnnouncementsLeaveBudgetForHeartbeats(t *testing.T) {
	const (
		span = 15 * time.Second
		step = heartbeatPeriod / 4
		// loadBytes is what the loads and holders of a message take, and minLoadShare the share of messages that must carry them.
		loadBytes    = 130
		minLoadShare = 0.5
	)
	for _, changesPerSecond := range []float64{3, 10, 36} {
		t.Run(fmt.Sprint(changesPerSecond, " changes a second"), func(t *testing.T) {
			now := time.Now()
			spent := budget.New(now)
			observations := make([]heartbeat.Observation, observationsPerMessage)
			for i := range observations {
				observations[i] = heartbeat.Observation{IP: netip.AddrFrom4([4]byte{10, 100, 100, byte(i)}), Age: time.Second}
			}
			ack := wideMessage
			ack.Observations = heartbeat.PackObservations(observations)
			sent, refused, withLoads, announced := 0, 0, 0, 0
			for at := time.Duration(0); at < span; at += step {
				for ; float64(announced) < at.Seconds()*min(changesPerSecond, 1/announcePause.Seconds()); announced++ {
					for range announceFanOut {
						spent.Spend(budget.Announcements, len(heartbeat.Encode(wideMessage)), now.Add(at))
					}
				}
				// An instance answers as many pings as it sends.
				if at%heartbeatPeriod == 0 {
					for range heartbeatFanOut {
						for _, m := range []heartbeat.Message{wideMessage, ack} {
							sent++
							switch {
							case !spent.Spend(budget.Membership, len(heartbeat.Encode(m)), now.Add(at)):
								refused++
							case spent.Spend(budget.ModelLoads, loadBytes, now.Add(at)):
								withLoads++
							}
						}
					}
				}
			}
			if refused > 0 || float64(withLoads) < minLoadShare*float64(sent) {
				t.Errorf("of %d heartbeats the budget does not cover %d, and covers %d with loads", sent, refused, withLoads)
			}
		})
	}
}

// TestNewsOfEndsLeavesBudgetForLoads guards against engines that end together: all instances find that, each tells others, and nothing is left for the loads of
// the engines that are still there.
func TestNewsOfEndsLeavesBudgetForLoads(t *testing.T) {
	const (
		span, step = 6 * time.Second, newsPause
		loadBytes  = 80
	)
	start := time.Unix(1000, 0)
	control := budget.New(start)
	body := make([]byte, 95)
	covered, asked, told := 0, 0, 0
	var readyAt time.Time
	for at := time.Duration(0); at < span; at += step {
		now := start.Add(at)
		// Each end is found or heard of several times in the first seconds.
		if at < span/2 && !now.Before(readyAt) {
			for range newsFanOut {
				if control.Spend(budget.News, len(body), now) {
					told++
				}
			}
			readyAt = now.Add(max(newsPause, control.UntilShared(budget.News, newsFanOut*newsMessageBytes, now)))
		}
		if at%heartbeatPeriod == 0 {
			for range 2 * heartbeatFanOut {
				asked++
				if control.Spend(budget.Membership, 125, now) && control.Spend(budget.ModelLoads, loadBytes, now) {
					covered++
				}
			}
		}
	}
	if covered < asked || told < 2*newsFanOut {
		t.Errorf("the budget covers the loads of %d of %d heartbeats; %d messages of news", covered, asked, told)
	}
}
