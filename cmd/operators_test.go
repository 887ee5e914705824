package cmd

import (
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/standin/embedded"
	"github.com/vanillaroute/vanillaroute/standin/kv"
	"github.com/vanillaroute/vanillaroute/standin/site"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

const propagationTimeout = 5 * time.Second

func deploy(t *testing.T) *embedded.Deployment {
	t.Helper()
	d, err := embedded.Start(site.DefaultConfig(), embedded.Options{Routers: 3})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// runAsOperator runs a command against one router with the operators' key.
func runAsOperator(t *testing.T, d *embedded.Deployment, router int, args ...string) (string, int) {
	t.Helper()
	return runCommand(t, append(args, "--router", d.Addresses()[router], "--key", d.OperatorKey)...)
}

// writeEdited replaces text in a list, writes the result to a file and returns its name.
func writeEdited(t *testing.T, list, from, to string) string {
	t.Helper()
	if !strings.Contains(list, from) {
		t.Fatalf("%q is not in the list:\n%s", from, list)
	}
	file := filepath.Join(t.TempDir(), "list.toml")
	if err := os.WriteFile(file, []byte(strings.Replace(list, from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestConcurrentEditsOfOneEntryConflict(t *testing.T) {
	d := deploy(t)
	list, code := runAsOperator(t, d, 0, "allowances", "get")
	if code != 0 {
		t.Fatal(list)
	}
	first := writeEdited(t, list, "concurrency = 2000", "concurrency = 2001")
	second := writeEdited(t, list, "concurrency = 2000", "concurrency = 2002")
	other := writeEdited(t, list, "concurrency = 200\n", "concurrency = 201\n")
	if out, code := runAsOperator(t, d, 0, "allowances", "apply", first, "--operator", "anna"); code != 0 {
		t.Fatalf("first operator: %s", out)
	}
	out, code := runAsOperator(t, d, 1, "allowances", "apply", second, "--operator", "bert")
	if code != 1 || !strings.Contains(out, `was changed by "anna"`) || !strings.Contains(out, `"concurrency":2001`) {
		t.Errorf("second operator: exit %d: %s", code, out)
	}
	if out, code := runAsOperator(t, d, 2, "allowances", "apply", other, "--operator", "carl", "--wait"); code != 0 {
		t.Errorf("operator of another entry: %s", out)
	}
	for router := range 3 {
		list, _ := runAsOperator(t, d, router, "allowances", "get")
		if !strings.Contains(list, "concurrency = 2001") || !strings.Contains(list, "concurrency = 201\n") {
			t.Errorf("router %d lost a change:\n%s", router, list)
		}
	}
}

func TestApplySurvivesLostStoreReply(t *testing.T) {
	d := deploy(t)
	list, _ := runAsOperator(t, d, 0, "plans", "get")
	before := d.Site.Store.Stats().Writes
	d.Site.Store.SetFaults(kv.Faults{DropReplies: 1})
	out, code := runAsOperator(t, d, 0, "plans", "apply", writeEdited(t, list, "plan = 'small'", "plan = 'large'"), "--wait")
	if code != 0 || strings.Count(out, "changed:") != 1 {
		t.Errorf("exit %d: %s", code, out)
	}
	if n := d.Site.Store.Stats().Writes - before; n < 2 {
		t.Errorf("%d transactions, want at least 2: no answer was lost", n)
	}
}

func TestApplyRejectsInvalidLists(t *testing.T) {
	d := deploy(t)
	plans, _ := runAsOperator(t, d, 0, "plans", "get")
	allowances, _ := runAsOperator(t, d, 0, "allowances", "get")
	tests := []struct{ name, kind, file, want string }{
		{"plan without allowance", "plans", writeEdited(t, plans, "plan = 'small'", "plan = 'huge'"), `plan "huge" has no allowance`},
		{"allowance still needed", "allowances", writeEdited(t, allowances, "plan = 'small'", "plan = 'tiny'"), `plan "small" has no allowance`},
		{"negative rate", "allowances", writeEdited(t, allowances, "requestsPerSecond = 200.0", "requestsPerSecond = -1.0"), "allowance.requestsPerSecond: expected a rate of 0 or more"},
	}
	for _, tt := range tests {
		if out, code := runAsOperator(t, d, 0, tt.kind, "apply", tt.file); code != 1 || !strings.Contains(out, tt.want) {
			t.Errorf("%s: exit %d: %s", tt.name, code, out)
		}
	}
}

// TestApplyOfTheOtherListDeletesNothing guards against taking a file without a list for one whose list is empty.
func TestApplyOfTheOtherListDeletesNothing(t *testing.T) {
	d := deploy(t)
	for _, kinds := range [][2]string{{"plans", "allowances"}, {"allowances", "plans"}} {
		list, _ := runAsOperator(t, d, 0, kinds[0], "get")
		other, _ := runAsOperator(t, d, 0, kinds[1], "get")
		out, code := runAsOperator(t, d, 0, kinds[0], "apply", writeEdited(t, other, "revision", "revision"))
		if code != 1 || !strings.Contains(out, "expected the list of "+kinds[0]) {
			t.Errorf("%s: exit %d: %s", kinds[0], code, out)
		}
		if after, _ := runAsOperator(t, d, 0, kinds[0], "get"); after != list {
			t.Errorf("%s before:\n%s\nafter:\n%s", kinds[0], list, after)
		}
	}
}

// TestLastKeysAndPlansAreTakenAway guards against admitting requests once no key or no plan is left in force, also after a restart.
func TestLastKeysAndPlansAreTakenAway(t *testing.T) {
	d := deploy(t)
	keyHashes := regexp.MustCompile(`keyHashes = \[[^]]*\]`)
	steps := []struct {
		name string
		edit func(list string) string
	}{
		{"keys", func(list string) string { return keyHashes.ReplaceAllString(list, "keyHashes = []") }},
		{"plans", func(list string) string { head, _, _ := strings.Cut(list, "[[plan]]"); return head }},
		{"nothing", func(list string) string {
			if !strings.Contains(list, "plan = []") {
				t.Errorf("the empty list is printed as %q", list)
			}
			return list
		}},
	}
	restarted := d.Nodes()[1]
	for _, step := range steps {
		list, _ := runAsOperator(t, d, 0, "plans", "get")
		file := filepath.Join(t.TempDir(), "list.toml")
		if err := os.WriteFile(file, []byte(step.edit(list)), 0o600); err != nil {
			t.Fatal(err)
		}
		if out, code := runAsOperator(t, d, 0, "plans", "apply", file, "--wait"); code != 0 {
			t.Fatalf("%s: exit %d: %s", step.name, code, out)
		}
		restarted.Kill()
		if err := restarted.Wait(); err != nil {
			t.Fatal(err)
		}
		var err error
		if restarted, err = d.Restart(restarted); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(2 * propagationTimeout); !restarted.Router.Ready(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: the restarted router is not ready", step.name)
			}
		}
		for _, address := range d.Addresses() {
			for _, key := range []string{d.Site.Organisations[0].Key, "vk-foreign", ""} {
				if status := postChat(t, address, key); status != http.StatusUnauthorized {
					t.Errorf("%s taken away, %s: key %q is answered %d", step.name, address, key, status)
				}
			}
		}
	}
}

// postChat asks a router for a chat and returns the status.
func postChat(t *testing.T, address, key string) int {
	t.Helper()
	body := `{"model":"any","messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestRouterStartsWhileStoreIsDown(t *testing.T) {
	d := deploy(t)
	d.Site.Store.SetFaults(kv.Faults{Down: true})
	n, err := d.AddRouter("router-late", "brest")
	if err != nil {
		t.Fatal(err)
	}
	if err := d.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	for _, key := range d.Site.Store.Keys(lists.Prefix) {
		if got, want := n.Router.EntryRevision(key), d.Nodes()[0].Router.EntryRevision(key); got != want || got == 0 {
			t.Errorf("%s: revision %d, want %d", key, got, want)
		}
	}
}

func TestDirectStoreEditsAreApplied(t *testing.T) {
	d := deploy(t)
	key := lists.Allowance{Plan: "large"}.Key()
	bad := ident.Revision(d.Site.Store.Put(key, []byte(`{"plan":"large","concurrency":-1}`)))
	deadline := time.Now().Add(propagationTimeout)
	for _, n := range d.Nodes() {
		for n.Router.EntryRevision(key) != bad && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		if got := n.Router.EntryRevision(key); got != bad {
			t.Errorf("router %s has revision %d, want %d", n.Settings.Router.ID, got, bad)
		}
	}
	list, _ := runAsOperator(t, d, 0, "status")
	if !strings.Contains(list, "concurrency: expected a count of 0 or more") {
		t.Errorf("the invalid entry is not reported:\n%s", list)
	}
}

func TestAddressesAndStatus(t *testing.T) {
	d := deploy(t)
	out, code := runCommand(t, "addresses", "--router", d.Addresses()[0], "--key", d.Site.Organisations[0].Key)
	if code != 0 || strings.Count(out, "http://") != 3 {
		t.Errorf("addresses: exit %d: %s", code, out)
	}
	out, code = runAsOperator(t, d, 0, "status", "--json")
	if code != 0 || strings.Count(out, `"Ready":true`) != 3 {
		t.Errorf("status: exit %d: %s", code, out)
	}
}
