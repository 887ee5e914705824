package config

import (
	"crypto/subtle"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/lists"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// Buckets is the number of hash buckets in which two routers compare their entries.
	Buckets = 64
	// TombstoneTTL is how long the record of a deleted entry is kept.
	TombstoneTTL = 24 * time.Hour
)

type (
	// State is the configuration in force at one router. The revision of an entry never decreases.
	State struct {
		mu      sync.RWMutex
		entries map[string]record
		// plans and allowances hold the last valid entries.
		plans      map[ident.Organisation]lists.PlanEntry
		allowances map[ident.Plan]lists.Allowance
		// keyOwners holds the organisation of each key hash.
		keyOwners map[string]ident.Organisation
		// rejected holds the invalid entries by store key.
		rejected map[string]Rejected
		// sums are the checksums of the entries in each bucket.
		sums            [Buckets]uint64
		highestRevision ident.Revision
		// ready says that the whole configuration was read once.
		ready bool
	}

	// Rejected is an invalid entry; the last valid entry of its key stays in force.
	Rejected struct {
		Key      string         `json:"key"`
		Revision ident.Revision `json:"revision"`
		Reason   string         `json:"reason"`
	}

	// record is the last known revision of an entry, or of its deletion.
	record struct {
		value    []byte
		revision ident.Revision
		deleted  bool
		// since is when the record was applied.
		since time.Time
	}
)

// New returns an empty state that is not ready.
func New() *State {
	return &State{
		entries:    make(map[string]record),
		plans:      make(map[ident.Organisation]lists.PlanEntry),
		allowances: make(map[ident.Plan]lists.Allowance),
		keyOwners:  make(map[string]ident.Organisation),
		rejected:   make(map[string]Rejected),
	}
}

// Apply applies the entries that are newer than the known ones, and returns those. An entry without a value is a deletion.
func (s *State) Apply(entries []wire.Entry, now time.Time) []wire.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var applied []wire.Entry
	for _, e := range entries {
		if s.apply(e, now) {
			applied = append(applied, e)
		}
	}
	return applied
}

// ApplyAll applies a full read of the store at a revision, and returns the entries that changed. It deletes entries of that revision or
// older that are missing from the read.
func (s *State) ApplyAll(entries []wire.Entry, at ident.Revision, now time.Time) []wire.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(entries))
	var applied []wire.Entry
	for _, e := range entries {
		present[e.Key] = true
		if s.apply(e, now) {
			applied = append(applied, e)
		}
	}
	for key, r := range s.entries {
		deletion := wire.Entry{Key: key, Revision: at}
		if !present[key] && !r.deleted && r.revision <= at && s.apply(deletion, now) {
			applied = append(applied, deletion)
		}
	}
	s.highestRevision = max(s.highestRevision, at)
	s.ready = true
	return applied
}

// SetReady records that the entries applied so far are the whole configuration.
func (s *State) SetReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

// Ready reports whether the whole configuration was read.
func (s *State) Ready() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ready
}

// Authenticate returns the plan entry of the organisation that owns a key, and false if no organisation owns it.
func (s *State) Authenticate(key string) (lists.PlanEntry, bool) {
	hash := lists.HashKey(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	org, ok := s.keyOwners[hash]
	if !ok {
		return lists.PlanEntry{}, false
	}
	plan := s.plans[org]
	for _, h := range plan.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return plan, true
		}
	}
	return lists.PlanEntry{}, false
}

// Allowance returns what a plan may use, and false if the plan has no valid allowance.
func (s *State) Allowance(p ident.Plan) (lists.Allowance, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a, ok := s.allowances[p]
	return a, ok
}

// PlanOf returns the plan entry of an organisation, and false if it has no valid one.
func (s *State) PlanOf(org ident.Organisation) (lists.PlanEntry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.plans[org]
	return p, ok
}

// Models returns the models that any allowance names, sorted.
func (s *State) Models() []ident.Model {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var all []ident.Model
	for _, a := range s.allowances {
		all = append(all, a.Models...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Entries returns every entry that is not deleted, sorted by key.
func (s *State) Entries() []wire.Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var all []wire.Entry
	for k, r := range s.entries {
		if !r.deleted {
			all = append(all, wire.Entry{Key: k, Value: r.value, Revision: r.revision})
		}
	}
	slices.SortFunc(all, func(a, b wire.Entry) int { return compareKeys(a.Key, b.Key) })
	return all
}

// Rejected returns the invalid entries, sorted by key.
func (s *State) Rejected() []Rejected {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]Rejected, 0, len(s.rejected))
	for _, r := range s.rejected {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Rejected) int { return compareKeys(a.Key, b.Key) })
	return list
}

// Digest returns a checksum of all entries that are not deleted, and the highest revision. Two routers compare digests to see whether
// their entries differ.
func (s *State) Digest() wire.Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d := wire.Digest{Highest: s.highestRevision}
	for i, sum := range s.sums {
		d.Checksum ^= sum * uint64(2*i+1)
	}
	return d
}

// Checksums returns the checksum of each bucket.
func (s *State) Checksums() []uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.sums[:])
}

// RevisionsIn returns the keys and revisions of the entries in the buckets, without values; deleted entries are included.
func (s *State) RevisionsIn(buckets []uint8) []wire.Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var known []wire.Entry
	for k, r := range s.entries {
		if slices.Contains(buckets, bucketOf(k)) {
			known = append(known, wire.Entry{Key: k, Revision: r.revision})
		}
	}
	return known
}

// Newer returns the entries in the buckets, including deleted ones, that are newer than their revisions in known.
func (s *State) Newer(buckets []uint8, known []wire.Entry) []wire.Entry {
	revisions := make(map[string]ident.Revision, len(known))
	for _, e := range known {
		revisions[e.Key] = e.Revision
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	var newer []wire.Entry
	for k, r := range s.entries {
		if slices.Contains(buckets, bucketOf(k)) && r.revision > revisions[k] {
			newer = append(newer, wire.Entry{Key: k, Value: r.value, Revision: r.revision})
		}
	}
	return newer
}

// Sweep drops the records of entries deleted at least TombstoneTTL ago.
func (s *State) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.entries {
		if r.deleted && now.Sub(r.since) >= TombstoneTTL {
			delete(s.entries, k)
		}
	}
}

// DifferingBuckets returns the buckets whose checksums in a and b differ.
func DifferingBuckets(a, b []uint64) []uint8 {
	var list []uint8
	for i := range min(len(a), len(b), Buckets) {
		if a[i] != b[i] {
			list = append(list, uint8(i))
		}
	}
	return list
}

// apply applies one entry or deletion, and reports whether it was newer than the known one.
func (s *State) apply(e wire.Entry, now time.Time) bool {
	old, ok := s.entries[e.Key]
	if ok && e.Revision <= old.revision {
		return false
	}
	next := record{value: e.Value, revision: e.Revision, deleted: len(e.Value) == 0, since: now}
	s.entries[e.Key] = next
	s.highestRevision = max(s.highestRevision, e.Revision)
	bucket := bucketOf(e.Key)
	if ok && !old.deleted {
		s.sums[bucket] ^= entrySum(e.Key, old.revision)
	}
	if next.deleted {
		s.remove(e.Key)
		return true
	}
	s.sums[bucket] ^= entrySum(e.Key, e.Revision)
	s.activate(e)
	return true
}

// activate puts an entry into force if it is valid. Otherwise it records the entry as rejected and keeps the last valid one.
func (s *State) activate(e wire.Entry) {
	plan, allowance, err := lists.DecodeValue(e.Key, e.Value)
	if err != nil {
		s.rejected[e.Key] = Rejected{Key: e.Key, Revision: e.Revision, Reason: err.Error()}
		return
	}
	delete(s.rejected, e.Key)
	if allowance != nil {
		s.allowances[allowance.Plan] = *allowance
		return
	}
	s.removeKeyOwners(plan.Organisation)
	s.plans[plan.Organisation] = *plan
	for _, h := range plan.KeyHashes {
		s.keyOwners[h] = plan.Organisation
	}
}

// remove takes a deleted entry out of force.
func (s *State) remove(key string) {
	delete(s.rejected, key)
	for org, p := range s.plans {
		if p.Key() == key {
			s.removeKeyOwners(org)
			delete(s.plans, org)
			return
		}
	}
	for plan, a := range s.allowances {
		if a.Key() == key {
			delete(s.allowances, plan)
			return
		}
	}
}

func (s *State) removeKeyOwners(org ident.Organisation) {
	for _, h := range s.plans[org].KeyHashes {
		if s.keyOwners[h] == org {
			delete(s.keyOwners, h)
		}
	}
}

func bucketOf(key string) uint8 { return uint8(xxhash.Sum64String(key) % Buckets) }

// entrySum returns the checksum of an entry, which depends on its key and revision only.
func entrySum(key string, revision ident.Revision) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(revision))
	_, _ = d.Write(raw[:])
	return d.Sum64()
}

func compareKeys(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Revision returns the revision of an entry, even if it is deleted, or 0 if the key is unknown.
func (s *State) Revision(key string) ident.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.entries[key].revision
}
