package entry

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/members"
	"go.uber.org/zap"
)

// TestMessagesWithoutLoadsKeepTheKnownOnes guards against announcements, and heartbeats whose loads the control budget does not cover, that erase what is known of
// the requests of other instances: engines with most requests then look idle.
func TestMessagesWithoutLoadsKeepTheKnownOnes(t *testing.T) {
	const requests = 5
	s, err := Parse("entry.toml", []byte(strings.NewReplacer("10.0.0.1:", "127.0.0.1:", ":7001", ":0").Replace(goodSettings)))
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(s, Platform{}, zap.NewNop(), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer n.heartbeats.Close()
	all := engines.NewList([]engines.Engine{{ID: "e1", Service: "s"}})
	message := heartbeat.Message{PeerAddress: "127.0.0.2:7001", CallerAddress: "127.0.0.2:8001"}
	withLoads := message
	withLoads.LocalLoads = map[engines.Key]int{all.OfService("s")[0].Key: requests}
	idle := message
	idle.LocalLoads = map[engines.Key]int{}
	for _, tt := range []struct {
		name string
		then heartbeat.Message
		want float64
	}{
		{"no loads in the next message", message, requests},
		{"no requests in the next message", idle, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, m := range []heartbeat.Message{withLoads, tt.then} {
				received, err := heartbeat.Decode(heartbeat.Encode(m))
				if err != nil {
					t.Fatal(err)
				}
				n.handleHeartbeat(received)
			}
			choice, placed, ok := n.table.Choose(all, placing.Request{Service: "s", Instances: 2}, time.Now())
			if !ok {
				t.Fatal("no engine was chosen")
			}
			placed.End()
			if choice.EngineLoad != tt.want {
				t.Errorf("the engine counts as running %g requests, want %g", choice.EngineLoad, tt.want)
			}
		})
	}
}

// TestHeartbeatsCarryLoads guards against a control budget that heartbeats use up without the loads of engines, so that instances take all engines for idle once
// the first burst is spent.
func TestHeartbeatsCarryLoads(t *testing.T) {
	const (
		span                          = time.Minute
		localLoads                    = 4
		minLoadShare, minHoldersShare = 0.9, 0.4
		changesPerSecond              = 1
	)
	start := time.Unix(1000, 0)
	control := budget.New(start)
	base := heartbeat.Message{
		PeerAddress: "10.2.64.52:7400", CallerAddress: "10.2.64.52:8227", Domain: "rosenheim-a", State: members.Ready, Incarnation: 1 << 60, Revision: 1 << 16, ConfirmedAge: time.Second,
	}
	loaded := base
	loaded.Running = []heartbeat.ServiceLoad{{Service: 1 << 31, Requests: 6}, {Service: 1<<31 + 1, Requests: 2}}
	loaded.LocalLoads = make(map[engines.Key]int)
	for i := range localLoads {
		loaded.LocalLoads[engines.Key(1<<31+i)] = 2
	}
	for i := range reportedLoadsPerMessage {
		loaded.ReportedLoads = append(loaded.ReportedLoads, heartbeat.Load{Engine: engines.Key(1<<31 + i), Requests: 12, Age: 300})
	}
	ping, ack := loaded, loaded
	ping.SentAt, ack.EchoedSentAt = 1<<40, 1<<40
	for i := range holdersPerMessage {
		// Two parts of a prompt are read by one engine at a time.
		ping.Holders = append(ping.Holders, heartbeat.PartHolder{Part: placing.PartID(1<<31 + i), Engine: engines.Key(1<<31 + i/2), Age: heartbeat.Millis(600 + 8*(i/2))})
	}
	ping.Demands = []heartbeat.Demand{{Service: 1 << 31, Arrivals: 300, Answers: 300, AnswerTime: 100}}
	var observations []heartbeat.Observation
	for i := range observationsPerMessage {
		observations = append(observations, heartbeat.Observation{IP: netip.AddrFrom4([4]byte{10, 2, 64, byte(i)}), Age: time.Second})
	}
	ack.Observations = heartbeat.PackObservations(observations)
	sent, withLoads, pings, withHolders := 0, 0, 0, 0
	for at := time.Duration(0); at < span; at += heartbeatPeriod {
		now := start.Add(at)
		if at%(time.Second/changesPerSecond) == 0 {
			for range announceFanOut {
				fitBudget(control, base, budget.Announcements, now)
			}
		}
		for i := range 2 * heartbeatFanOut {
			m := ping
			if i%2 == 1 {
				m = ack
			}
			body, ok := fitBudget(control, m, budget.Membership, now)
			if !ok {
				t.Fatalf("a heartbeat is not covered after %s", at)
			}
			got, err := heartbeat.Decode(body)
			if err != nil {
				t.Fatal(err)
			}
			sent++
			if len(got.LocalLoads) == localLoads && len(got.ReportedLoads) == reportedLoadsPerMessage {
				withLoads++
			}
			if i%2 == 0 {
				pings++
				if len(got.Holders) == holdersPerMessage {
					withHolders++
				}
			}
		}
	}
	t.Logf("%d of %d heartbeats carry loads, %d of %d pings holders", withLoads, sent, withHolders, pings)
	t.Run("loads", func(t *testing.T) {
		if float64(withLoads) < minLoadShare*float64(sent) {
			t.Errorf("%d of %d heartbeats carry loads", withLoads, sent)
		}
	})
	t.Run("holders", func(t *testing.T) {
		if float64(withHolders) < minHoldersShare*float64(pings) {
			t.Errorf("%d of %d pings carry holders", withHolders, pings)
		}
	})
}
