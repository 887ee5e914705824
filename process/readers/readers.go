package readers

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// Count is how many instances watch the store: one may be lost without anybody noticing.
	Count = 2
	// helpAfter is the age of the last proof from which other instances read too.
	helpAfter = 1800 * time.Millisecond
	// helpEvery is the mean pause between two reads of all helping instances together.
	helpEvery = 400 * time.Millisecond
)

type (
	// Instance is one candidate.
	Instance struct {
		Peer   string
		Domain ident.Domain
	}
)

// Chosen reports whether an instance is one of the readers: the first of the instances by a hash, each of a failure domain of its own while there are enough.
func Chosen(self string, all []Instance) bool {
	order := ranked(all)
	taken := make(map[ident.Domain]bool)
	var chosen []string
	for _, pass := range []bool{true, false} {
		for _, i := range order {
			if len(chosen) >= Count || (pass && taken[i.Domain]) || has(chosen, i.Peer) {
				continue
			}
			taken[i.Domain] = true
			chosen = append(chosen, i.Peer)
		}
	}
	return has(chosen, self)
}

// Helps reports whether an instance that is no reader is to read the store itself, since the last proof is too old; draw is a random number from 0 to 1.
func Helps(proofAge, sinceLast time.Duration, instances int, draw float64) bool {
	if proofAge < helpAfter {
		return false
	}
	pause := helpEvery * time.Duration(max(instances, 1))
	return sinceLast > time.Duration((0.5+draw)*float64(pause))
}

func ranked(all []Instance) []Instance {
	order := append([]Instance(nil), all...)
	for i := 1; i < len(order); i++ {
		for j := i; j > 0 && weight(order[j]) < weight(order[j-1]); j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
	return order
}

func weight(i Instance) uint64 { return xxhash.Sum64String(i.Peer) }

func has(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
