package settings

import (
	"encoding/hex"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

const (
	defaultLoadBound         = 1.25
	defaultLongShare         = 0.6
	defaultQueueLimit        = 256
	defaultHedgeShare        = 0.03
	defaultCacheWait         = 100 * time.Millisecond
	defaultFirstTokenTimeout = 10 * time.Second
	defaultStallTimeout      = 5 * time.Second
	defaultAddressValidity   = 10 * time.Second
	defaultGracefulShutdown  = 60 * time.Second
	defaultMaxWait           = 10 * time.Second
	defaultInteractiveWait   = 1500 * time.Millisecond
	defaultLongMaxWait       = 60 * time.Second
	defaultHeaderTimeout     = 5 * time.Second
	defaultBodyTimeout       = 30 * time.Second
	defaultIdleTimeout       = 2 * time.Minute
	// minMemory is the smallest memory in which a router runs.
	minMemory             = 64e6
	defaultLogLevel       = "info"
	defaultLoadsPerMinute = 6
	hashHexLength         = 64
)

// Load reads a settings file, sets defaults and validates it. It returns a *tomlfile.FieldError for an invalid field.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse does the same as Load for the content of a file. The file name is used only in errors.
func Parse(file string, data []byte) (Settings, error) {
	// Defaults are set before decoding, since a zero in the file is a value and not a field that is left out.
	var s Settings
	s.setScalarDefaults()
	if err := tomlfile.Decode(file, data, &s); err != nil {
		return Settings{}, err
	}
	s.setClassDefaults()
	if err := s.check(file, data); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// SetDefaults sets every optional field that has its zero value to its default. Settings that a program builds have no other mark of a field
// that is left out.
func (s *Settings) SetDefaults() {
	s.setScalarDefaults()
	s.setClassDefaults()
}

func (s *Settings) setScalarDefaults() {
	r := &s.Routing
	setDefault(&r.LoadBound, defaultLoadBound)
	setDefault(&r.LongShare, defaultLongShare)
	setDefault(&r.QueueLimit, defaultQueueLimit)
	setDefault(&r.HedgeShare, defaultHedgeShare)
	setDefault(&r.CacheWait, tomlfile.NewDuration(defaultCacheWait))
	setDefault(&r.FirstTokenTimeout, tomlfile.NewDuration(defaultFirstTokenTimeout))
	setDefault(&r.StallTimeout, tomlfile.NewDuration(defaultStallTimeout))
	setDefault(&r.AddressValidity, tomlfile.NewDuration(defaultAddressValidity))
	setDefault(&r.GracefulShutdown, tomlfile.NewDuration(defaultGracefulShutdown))
	setDefault(&s.Platform.ModelLoadsPerMinute, defaultLoadsPerMinute)
	setDefault(&s.Limits.HeaderTimeout, tomlfile.NewDuration(defaultHeaderTimeout))
	setDefault(&s.Limits.BodyTimeout, tomlfile.NewDuration(defaultBodyTimeout))
	setDefault(&s.Limits.IdleTimeout, tomlfile.NewDuration(defaultIdleTimeout))
	setDefault(&s.Log.Level, defaultLogLevel)
}

// setClassDefaults sets the default classes unless there is a list of classes, which may be empty, and the waits that a class leaves out.
func (s *Settings) setClassDefaults() {
	r := &s.Routing
	if r.Classes == nil {
		r.Classes = []Class{{Name: "standard"}, {Name: "interactive", MaxWait: tomlfile.NewDuration(defaultInteractiveWait)}, {Name: "long", Long: true}}
	}
	for i := range r.Classes {
		c := &r.Classes[i]
		if c.Long {
			setDefault(&c.MaxWait, tomlfile.NewDuration(defaultLongMaxWait))
		}
		setDefault(&c.MaxWait, tomlfile.NewDuration(defaultMaxWait))
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// check returns a *tomlfile.FieldError for the first invalid field.
func (s Settings) check(file string, data []byte) error {
	type rule struct {
		ok         bool
		table, key string
		expected   string
	}
	tls := s.Peers
	allOrNone := (tls.Authority == "") == (tls.Certificate == "") && (tls.Certificate == "") == (tls.Key == "")
	rules := []rule{
		{s.Router.ID != "", "router", "id", "expected the router's name"},
		{s.Router.FailureDomain != "", "router", "failureDomain", "expected the router's failure domain"},
		{s.Router.Callers.IsValid(), "router", "callers", "expected the IP address and port for callers"},
		{s.Router.Peers.IsValid(), "router", "peers", "expected the IP address and port for peers"},
		{s.Platform.Store.IsValid(), "platform", "store", "expected the IP address and port of the key-value service"},
		{s.Platform.Instances.IsValid(), "platform", "instances", "expected the IP address and port of the list of instances"},
		{s.Platform.ModelLoadsPerMinute > 0, "platform", "loadsPerMinute", "expected a rate above 0"},
		{isHash(s.Operators.KeyHash), "operators", "keyHash", "expected the SHA-256 hash of the operators' key in 64 hexadecimal digits"},
		{allOrNone, "peers", "certificate", "expected authority, certificate and key together"},
		{s.Routing.LoadBound >= 1, "routing", "loadBound", "expected a multiple of 1 or more"},
		{s.Routing.LongShare > 0 && s.Routing.LongShare <= 1, "routing", "longShare", "expected a share between 0 and 1"},
		{s.Routing.QueueLimit > 0, "routing", "queueLimit", "expected a count above 0"},
		{s.Routing.HedgeShare >= 0 && s.Routing.HedgeShare <= 1, "routing", "hedgeShare", "expected a share between 0 and 1"},
		{s.Routing.CacheWait.Std() >= 0, "routing", "cacheWait", "expected a duration of 0 or more"},
		{len(s.Routing.Classes) > 0, "routing", "class", "expected at least one class"},
		{s.Routing.FirstTokenTimeout.Std() > 0, "routing", "firstTokenTimeout", "expected a duration above 0"},
		{s.Routing.StallTimeout.Std() > 0, "routing", "stallTimeout", "expected a duration above 0"},
		{s.Routing.AddressValidity.Std() > 0, "routing", "addressValidity", "expected a duration above 0"},
		{s.Routing.GracefulShutdown.Std() > 0, "routing", "gracefulShutdown", "expected a duration above 0"},
		{s.Limits.Memory.Int64() == 0 || s.Limits.Memory.Int64() >= minMemory, "limits", "memory", "expected 64MB or more, or 0MB for no bound"},
		{sizelimit.MemoryFits(s.Limits.Memory.Int64()), "limits", "memory", "expected no more than the memory of the machine"},
		{s.Limits.HeaderTimeout.Std() > 0, "limits", "headerTimeout", "expected a duration above 0"},
		{s.Limits.BodyTimeout.Std() > 0, "limits", "bodyTimeout", "expected a duration above 0"},
		{s.Limits.IdleTimeout.Std() > 0, "limits", "idleTimeout", "expected a duration above 0"},
	}
	for _, r := range rules {
		if !r.ok {
			return &tomlfile.FieldError{File: file, Line: tomlfile.Line(data, r.table, 0, r.key), Field: r.table + "." + r.key, Expected: r.expected}
		}
	}
	return s.checkNames(file, data)
}

func (s Settings) checkNames(file string, data []byte) error {
	seen := make(map[string]bool)
	for i, c := range s.Routing.Classes {
		if c.Name == "" || seen[string(c.Name)] || c.MaxWait.Std() <= 0 {
			return &tomlfile.FieldError{File: file, Line: tomlfile.Line(data, "routing.class", i, "name"), Field: "routing.class.name", Expected: "expected a unique name and a maxWait above 0"}
		}
		seen[string(c.Name)] = true
	}
	for i, v := range s.Services {
		if v.Name == "" || seen["service "+string(v.Name)] {
			return &tomlfile.FieldError{File: file, Line: tomlfile.Line(data, "service", i, "name"), Field: "service.name", Expected: "expected a unique name"}
		}
		seen["service "+string(v.Name)] = true
	}
	return nil
}

func isHash(h string) bool {
	_, err := hex.DecodeString(h)
	return err == nil && len(h) == hashHexLength
}
