package suspects

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const testTrialWait = 3 * time.Second

// tryAll lets requests with these parts come at each instance every 100 ms, and calls tried for each that is tried. The first instance is the tester.
func (f *fleet) tryAll(span time.Duration, names []string, tried func(instance int)) {
	for end := f.now.Add(span); f.now.Before(end); f.pass(100 * time.Millisecond) {
		for i, p := range f.instances {
			isTester := func(Culprit) bool { return i == 0 }
			if p.Refuses(ids(names), f.now) && p.mayTry(ids(names), isTester, f.now) {
				p.countTrial(ids(names), f.now)
				tried(i)
			}
		}
	}
}

// TestSoundPartComesBackByATrial guards against refusing a part for good: nothing but an answer shows that it is sound, and what is refused is not answered.
func TestSoundPartComesBackByATrial(t *testing.T) {
	tests := []struct {
		name   string
		accuse func(f *fleet)
	}{
		{"found", func(f *fleet) {
			for range PartPolicy().Unanswered.Crashes {
				f.crash([]string{"sound"})
			}
			f.pass(PartPolicy().ObjectionTime)
		}},
		{"stored", func(f *fleet) {
			for _, p := range f.instances {
				p.SetStored(ids([]string{"sound"}), f.now)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(3)
			tt.accuse(f)
			began := f.now
			var trialsAt []time.Duration
			f.tryAll(4*testTrialWait, []string{"sound", "other"}, func(i int) {
				trialsAt = append(trialsAt, f.now.Sub(began))
				f.answer(i, "sound", "other")
			})
			if len(trialsAt) != 1 || trialsAt[0] < testTrialWait-time.Second || trialsAt[0] > testTrialWait+time.Second {
				t.Errorf("tried after %s, want once after %s", trialsAt, testTrialWait)
			}
			for _, due := range f.instances[0].Due(time.Minute, f.now) {
				for _, p := range f.instances {
					if due.Cleared {
						p.RemoveStored(due.Culprit, f.now)
					}
				}
			}
			if f.refused(t, []string{"sound", "other"})[0] {
				t.Error("the part is still refused")
			}
		})
	}
}

// TestTrialsOfAGuiltyPartAreFew guards against trials that crash an engine each more often than the users allow: three times after the fifth crash.
func TestTrialsOfAGuiltyPartAreFew(t *testing.T) {
	f := newFleet(3)
	for range PartPolicy().Unanswered.Crashes {
		f.crash([]string{"guilty"})
	}
	crashes := 0
	f.tryAll(5*time.Minute, []string{"guilty"}, func(i int) {
		crashes++
		f.engine++
		f.instances[i].RecordCrash(ids([]string{"guilty"}), Crash{Engine: f.engine, At: f.now}, f.now)
	})
	const allowed = 2 + 3
	if crashes == 0 || crashes > allowed {
		t.Errorf("%d trials in 5 minutes, want 1 to %d", crashes, allowed)
	}
}

// TestTrialsDoNotOverlap guards against several requests that are tried at the same moment.
func TestTrialsDoNotOverlap(t *testing.T) {
	const requests = 8
	c, s, now := NewCrashes(), Subjects{Request: 1}, time.Unix(1000, 0)
	c.Requests.SetStored(Culprit{s.Request}, now)
	// The requests wait for each other's decision.
	isTester := func(Culprit) bool { time.Sleep(2 * time.Millisecond); return true }
	var tried atomic.Int32
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			if c.TakeTrial(s, isTester, now.Add(testTrialWait)) {
				tried.Add(1)
			}
		})
	}
	all.Wait()
	if n := tried.Load(); n != 1 {
		t.Errorf("%d requests are tried at once", n)
	}
}

// TestTrialIsReturned guards against two trials at a time, and against a longer wait after a trial that reached no engine.
func TestTrialIsReturned(t *testing.T) {
	tests := []struct {
		name   string
		accuse func(c *Crashes, s Subjects, now time.Time)
	}{
		{"part", func(c *Crashes, s Subjects, now time.Time) { c.Parts.SetStored(Culprit(s.Parts[:1]), now) }},
		{"request", func(c *Crashes, s Subjects, now time.Time) { c.Requests.SetStored(Culprit{s.Request}, now) }},
		{"both", func(c *Crashes, s Subjects, now time.Time) {
			c.Parts.SetStored(Culprit(s.Parts[:1]), now)
			c.Requests.SetStored(Culprit{s.Request}, now)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, s, now := NewCrashes(), Subjects{Request: 1, Parts: ids([]string{"a", "b"})}, time.Unix(1000, 0)
			tt.accuse(c, s, now)
			take := func(tester bool) bool { return c.TakeTrial(s, func(Culprit) bool { return tester }, now) }
			if now = now.Add(testTrialWait - time.Second); take(true) {
				t.Error("tried too early")
			}
			if now = now.Add(time.Second); take(false) || !take(true) || take(true) {
				t.Error("want one trial at a time, of the tester")
			}
			c.ReturnTrial(s, now)
			if !take(true) {
				t.Error("a trial that was returned is not taken again")
			}
			if now = now.Add(testTrialWait); take(true) {
				t.Error("the second trial comes as early as the first one")
			}
		})
	}
}
