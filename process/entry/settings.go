package entry

import (
	"bytes"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/process/readers"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/retries"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

const (
	// keyMargin is subtracted from the revocation bound, for requests in flight and for clocks that run at different rates.
	keyMargin = 500 * time.Millisecond
	// defaultKeyAge applies if the platform sets no bound for revoked keys.
	defaultKeyAge = 30 * time.Second
	// defaultInForce applies if the platform sets no bound for a change to be in force; it is the users' bound for a large fleet.
	defaultInForce = 5 * time.Second
	// shutdownMargin is subtracted from the time that the platform gives a process to stop. Requests that are in progress lastAnswerMargin earlier are
	// ended with an answer.
	shutdownMargin   = 700 * time.Millisecond
	lastAnswerMargin = 300 * time.Millisecond
	// loadBoundShare is the share of the allowed load factor that placement uses. The rest is left free because the load counts are slightly
	// out of date.
	loadBoundShare = 0.75
	// defaultLoadFactor applies if the platform sets no load factor.
	defaultLoadFactor = 2
	// defaultEngineReports applies if the platform does not say how often engines report.
	defaultEngineReports = 2 * time.Second
)

type (
	// Settings are the settings of one instance. The template deploy/entry.toml.tmpl writes them.
	Settings struct {
		Instance struct {
			Name          string           `toml:"name"`
			FailureDomain ident.Domain     `toml:"failureDomain"`
			Callers       tomlfile.Address `toml:"callers"`
			Ready         tomlfile.Address `toml:"ready"`
			Directory     tomlfile.Address `toml:"directory"`
			Peers         tomlfile.Address `toml:"peers"`
			// Metrics is the IP address and port of the metrics server; without it, no metrics are served.
			Metrics tomlfile.Address   `toml:"metrics"`
			Seeds   []tomlfile.Address `toml:"seeds"`
			// Memory is the memory that the process may use, or 0 for what its resource limits and its machine leave it.
			Memory tomlfile.Bytes `toml:"memory"`
			// FirstStart says that the whole fleet starts for the first time, so that no engine has cached anything.
			FirstStart bool `toml:"firstStart"`
		} `toml:"instance"`
		Store struct {
			Address tomlfile.Address `toml:"address"`
			// MinLease is the shortest lease that the store grants.
			MinLease tomlfile.Duration `toml:"minLease"`
			// EngineReports is how often engines report to the store, which removes the entry of one that has been silent for three times as long; 0 means
			// the default.
			EngineReports tomlfile.Duration `toml:"engineReports"`
		} `toml:"store"`
		Bounds struct {
			// KeyRevocation is the time after which a revoked key must no longer be accepted, or 0 if there is no bound.
			KeyRevocation tomlfile.Duration `toml:"keyRevocation"`
			// Contact is the time after which an instance without contact to the store counts as cut off.
			Contact tomlfile.Duration `toml:"contact"`
			// InForce is the time within which a change of the configuration must be in force, and Drain the time after which a draining
			// engine must get no new requests; 0 means no bound.
			InForce tomlfile.Duration `toml:"inForce"`
			Drain   tomlfile.Duration `toml:"drain"`
			// Shutdown is the time that the platform gives a process to stop before it kills it.
			Shutdown tomlfile.Duration `toml:"shutdown"`
			// MaxAddressValidity bounds how long callers keep addresses.
			MaxAddressValidity tomlfile.Duration `toml:"maxAddressValidity"`
			// Evacuate is the time after which the engines of an evacuated failure domain must get no new requests; without it, evacuations
			// have no effect.
			Evacuate tomlfile.Duration `toml:"evacuate"`
			// MaxStretch is by how much an unstable store may delay an evacuation.
			MaxStretch tomlfile.Duration `toml:"maxStretch"`
			// ColdOver is the multiple of the rate of a cold engine that all instances together may send it in a second, or 0 for exactly the
			// rate, and ColdSlack how many requests they may send beyond it.
			ColdOver  float64 `toml:"coldOver"`
			ColdSlack float64 `toml:"coldSlack"`
			// LoadFactor is the multiple of the mean load that an engine may hold, or 0 for the default.
			LoadFactor float64 `toml:"loadFactor"`
		} `toml:"bounds"`
		Placing struct {
			// MoveSmallFirst lets requests with small prompts leave an engine near its load bound before those with large ones.
			MoveSmallFirst bool `toml:"moveSmallFirst"`
		} `toml:"placing"`
		Retries struct {
			Ratio  float64           `toml:"ratio"`
			Slack  float64           `toml:"slack"`
			Window tomlfile.Duration `toml:"window"`
		} `toml:"retries"`
		// Overload switches what is done about more requests than engines can answer in time. All switches are off without the table.
		Overload struct {
			// Order tells engines the order of requests by priority and by the time left to their targets.
			Order bool `toml:"order"`
			// Admission decides by one rule which requests are offered to engines, to streams and plain services.
			Admission bool `toml:"admission"`
			// Memory sends requests only to engines that have memory for them, if the configuration names it.
			Memory bool `toml:"memory"`
		} `toml:"overload"`
	}
)

// Load reads and checks a settings file. It fails with a *tomlfile.FieldError for an invalid field.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// IsSettings reports whether a file holds the settings of an entry instance, that is, a table "instance".
func IsSettings(data []byte) bool {
	for line := range bytes.Lines(data) {
		if string(bytes.TrimSpace(line)) == "[instance]" {
			return true
		}
	}
	return false
}

// Parse decodes and checks the content of a settings file. It fails with a *tomlfile.FieldError for an invalid field.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	if err := tomlfile.Decode(file, data, &s); err != nil {
		return Settings{}, err
	}
	rules := []struct {
		ok                   bool
		table, key, expected string
	}{
		{s.Instance.Name != "", "instance", "name", "expected the instance's name"},
		{s.Instance.FailureDomain != "", "instance", "failureDomain", "expected the instance's failure domain"},
		{s.Instance.Callers.IsValid(), "instance", "callers", "expected the IP number and port for callers"},
		{s.Instance.Ready.IsValid(), "instance", "ready", "expected the IP number and port of the readiness check"},
		{s.Instance.Directory.IsValid(), "instance", "directory", "expected the IP number and port at which callers ask for addresses"},
		{s.Instance.Peers.IsValid(), "instance", "peers", "expected the IP number and port for peers"},
		{s.Instance.Memory.Int64() == 0 || s.Instance.Memory.Int64() >= minMemory, "instance", "memory", "expected 64MB or more, or 0MB for the memory of the machine"},
		{sizelimit.MemoryFits(s.Instance.Memory.Int64()), "instance", "memory", "expected no more than the memory of the machine"},
		{s.Store.Address.IsValid(), "store", "address", "expected the IP number and port of the platform's store"},
		{s.Store.EngineReports.Std() >= 0, "store", "engineReports", "expected a duration of 0 or more"},
		{s.Bounds.Shutdown.Std() > 0, "bounds", "shutdown", "expected a duration above 0"},
		{s.Bounds.Evacuate.Std() >= 0, "bounds", "evacuate", "expected a duration of 0 or more"},
		{s.Bounds.MaxStretch.Std() >= 0, "bounds", "maxStretch", "expected a duration of 0 or more"},
		{s.Bounds.ColdOver == 0 || s.Bounds.ColdOver >= 1, "bounds", "coldOver", "expected a multiple of 1 or more, or 0"},
		{s.Bounds.ColdSlack >= 0, "bounds", "coldSlack", "expected a count of 0 or more"},
		{s.Bounds.LoadFactor >= 0, "bounds", "loadFactor", "expected a multiple of 0 or more"},
		{s.Retries.Ratio >= 0, "retries", "ratio", "expected a ratio of 0 or more"},
		{s.Retries.Slack >= 0, "retries", "slack", "expected a count of 0 or more"},
		{s.Retries.Window.Std() > 0, "retries", "window", "expected a duration above 0"},
	}
	for _, r := range rules {
		if !r.ok {
			return Settings{}, &tomlfile.FieldError{File: file, Line: tomlfile.Line(data, r.table, 0, r.key), Field: r.table + "." + r.key, Expected: r.expected}
		}
	}
	return s, nil
}

// maxKeyAge returns the age up to which a replica may be used to accept a key.
func (s *Settings) maxKeyAge() time.Duration {
	if s.Bounds.KeyRevocation.Std() == 0 {
		return defaultKeyAge
	}
	return s.Bounds.KeyRevocation.Std() - keyMargin
}

// maxDenyAge returns the age up to which a replica may be used to reject a route or key as unknown. A route or key that was added before must
// be in force.
func (s *Settings) maxDenyAge() time.Duration {
	return min(s.maxKeyAge(), s.Bounds.Contact.Std(), s.inForce())
}

// inForce returns the time within which a change of the configuration must be in force.
func (s *Settings) inForce() time.Duration {
	if s.Bounds.InForce.Std() == 0 {
		return defaultInForce
	}
	return s.Bounds.InForce.Std()
}

// engineReports returns how often engines report to the store.
func (s *Settings) engineReports() time.Duration {
	if s.Store.EngineReports.Std() == 0 {
		return defaultEngineReports
	}
	return s.Store.EngineReports.Std()
}

// schedule returns the schedule for reading the store that meets the bounds.
func (s *Settings) schedule() readers.Schedule {
	spread := s.inForce()
	if drain := s.Bounds.Drain.Std(); drain > 0 {
		spread = min(spread, drain)
	}
	if evacuate := s.Bounds.Evacuate.Std(); evacuate > 0 {
		spread = min(spread, max(evacuate-evacuationMargin, evacuate/2))
	}
	return readers.NewSchedule(s.maxDenyAge(), s.maxKeyAge(), spread)
}

func (s *Settings) retryPolicy() retries.Policy {
	return retries.Policy{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window.Std()}
}

func (s *Settings) placingPolicy() placing.Policy {
	factor := s.Bounds.LoadFactor
	if factor == 0 {
		factor = defaultLoadFactor
	}
	return placing.Policy{
		LoadBound:      max(loadBoundShare*factor, 1),
		MoveSmallFirst: s.Placing.MoveSmallFirst,
		Cold:           placing.ColdPolicy{Over: s.Bounds.ColdOver, Slack: s.Bounds.ColdSlack},
	}
}
