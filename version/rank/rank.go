package rank

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mantissaBits is the precision of a float64.
const mantissaBits = 53

// Member is a candidate for keys; it gets keys in proportion to its weight.
type Member struct {
	Name   string
	Weight float64
}

// EqualWeights returns a member of weight 1 for each item, in the order of the items.
func EqualWeights[T any](items []T, name func(T) string) []Member {
	members := make([]Member, len(items))
	for i, item := range items {
		members[i] = Member{Name: name(item), Weight: 1}
	}
	return members
}

// Order returns the indexes of at most limit members, best for the key first. Members with the same score are ordered by name.
func Order(key string, members []Member, limit int) []int {
	type scored struct {
		index int
		score float64
	}
	all := make([]scored, 0, len(members))
	seed := xxhash.Sum64String(key)
	for i, m := range members {
		all = append(all, scored{index: i, score: score(seed, m)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(members[a.index].Name, members[b.index].Name)
	})
	if limit < len(all) {
		all = all[:limit]
	}
	order := make([]int, len(all))
	for i, s := range all {
		order[i] = s.index
	}
	return order
}

// Best returns the index of the best member for the key, or -1 if there are no members.
func Best(key string, members []Member) int {
	best, bestScore := -1, math.Inf(-1)
	seed := xxhash.Sum64String(key)
	for i, m := range members {
		s := score(seed, m)
		if s > bestScore || (s == bestScore && m.Name < members[best].Name) {
			best, bestScore = i, s
		}
	}
	return best
}

// score returns the weighted rendezvous score of a member: its weight over the negative logarithm of a uniform hash in (0, 1).
func score(seed uint64, m Member) float64 {
	h := mix(seed ^ xxhash.Sum64String(m.Name))
	uniform := (float64(h>>(64-mantissaBits)) + 0.5) / float64(uint64(1)<<mantissaBits)
	return -m.Weight / math.Log(uniform)
}

// mix spreads every input bit over the output, since the exclusive or of two hashes alone is symmetric. It is the MurmurHash3 finalizer.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
