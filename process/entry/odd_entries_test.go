package entry_test

import (
	"net/http"
	"strings"
	"testing"
)

// TestOddEntriesDoNotDisturbTheFleet guards against entries of another writer that end an instance, keep it from following the store, or keep
// one from starting.
func TestOddEntriesDoNotDisturbTheFleet(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	long := strings.Repeat("x", 200)
	deep := strings.Repeat("[", 200_000)
	values := []string{"", "null", deep, "1e400", "\xff\x00", "refused", "10.0.0.1:0", "[fe80::1%lo]:1", "[fd00::1]:9", "127.0.0.1:1", strings.Repeat("y", 1<<20)}
	keys := []string{
		"engines/", "engines/\x00", "engines/\xff", "engines/ e1 ", "engines/" + long, "instances/", "instances/\xff", "instances/" + long,
		"culprits/", "culprits/-", "culprits/--", "culprits/-1", "culprits/zz-zz-zz", "culprits/\xff", "culprits/" + long, "culprits/zzzzzzzzzzzzzzzzzzzz", "\xff", "odd",
	}
	for i, key := range keys {
		if strings.HasPrefix(key, "engines/") {
			f.store.Put(key, []byte(invalidValue))
			continue
		}
		for j := range values {
			// Each key gets every value, in another order.
			f.store.Put(key, []byte(values[(i+j)%len(values)]))
		}
	}
	f.halt(2)
	f.start(2, false)
	f.configure(testConfiguration{Version: 2, Keys: []string{oneKey}, Path: "/p/"})
	for i := range f.nodes {
		f.eventually(func() bool { return f.ask(i, otherKey, "/p/x") == http.StatusUnauthorized }, "instance %d does not apply the next configuration", i)
		if got := f.ask(i, oneKey, "/p/x"); got != http.StatusOK {
			t.Errorf("instance %d answers %d", i, got)
		}
	}
}
