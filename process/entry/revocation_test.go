package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/version/routing"
)

// TestLastKeyTakenAwayStaysRevoked guards against admitting every request once no organisation has a key left, however the last keys are taken
// away and whichever instances restart meanwhile.
func TestLastKeyTakenAwayStaysRevoked(t *testing.T) {
	t.Parallel()
	const foreignKey = "key-foreign"
	museum := func(keys ...string) []routing.Organisation {
		return []routing.Organisation{{Name: "museum", Keys: keys}}
	}
	type step struct {
		organisations []routing.Organisation
		// open says that the configuration has no list of organisations. Requests without a key are admitted then.
		open bool
		// path is the path of the route; a new one is a change beside that of the keys.
		path string
		// before and after are the instances that restart before the configuration is written, and after it.
		before, after []int
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"at once", []step{{organisations: museum(), path: "/p/"}}},
		{"with its organisation", []step{{organisations: []routing.Organisation{}, path: "/p/"}}},
		{"list absent", []step{{open: true, path: "/p/"}}},
		{"key by key", []step{
			{organisations: museum(otherKey), path: "/p/", after: []int{0}},
			{organisations: museum(), path: "/q/", before: []int{1}, after: []int{2}},
			{organisations: []routing.Organisation{}, path: "/q/", after: []int{0, 1, 2}},
		}},
		{"list absent, then empty", []step{
			{open: true, path: "/q/", after: []int{0, 1}},
			{organisations: museum(), path: "/p/", before: []int{2}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			restart := func(nodes []int) {
				for _, i := range nodes {
					f.halt(i)
					f.start(i, false)
				}
			}
			version := routing.Version(1)
			for _, s := range tt.steps {
				restart(s.before)
				version++
				f.configure(testConfiguration{Version: version, Path: s.path, Access: &routing.Access{Organisations: s.organisations, Open: s.open}})
				time.Sleep(revocation)
				restart(s.after)
				known := make(map[string]bool)
				for _, o := range s.organisations {
					for _, key := range o.Keys {
						known[key] = true
					}
				}
				for i := range f.nodes {
					for _, key := range []string{oneKey, otherKey, lightKey, foreignKey, ""} {
						want := http.StatusUnauthorized
						if known[key] || (key == "" && s.open) {
							want = http.StatusOK
						}
						runs := f.runs.Load()
						if got := f.ask(i, key, s.path+"x"); got != want {
							t.Errorf("version %d, instance %d: key %q is answered %d, want %d", version, i, key, got, want)
						}
						if ran := f.runs.Load() > runs; ran != (want == http.StatusOK) {
							t.Errorf("version %d, instance %d: a request with the key %q ran: %v", version, i, key, ran)
						}
					}
				}
			}
			version++
			f.configure(testConfiguration{Version: version, Keys: []string{foreignKey}, Path: "/p/"})
			for i := range f.nodes {
				f.eventually(func() bool { return f.ask(i, foreignKey, "/p/x") == http.StatusOK }, "instance %d does not accept a new key", i)
			}
		})
	}
}
