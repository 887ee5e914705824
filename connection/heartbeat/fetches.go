package heartbeat

import (
	"net/netip"
	"sync"
	"time"
)

// The reasons for which fetches of other instances are refused.
const (
	// ReasonFetches is a fetch above the bound on all fetches.
	ReasonFetches Reason = "fetches"
	// ReasonFetchesOfAddress is a fetch above maxFetchesOfAddress.
	ReasonFetchesOfAddress Reason = "fetchesOfAddress"
	// ReasonFetchSilent is a connection that was closed for another fetch because it had not sent its request.
	ReasonFetchSilent Reason = "fetchSilent"
	// ReasonFetchMemory is a fetch for whose reply there is no memory.
	ReasonFetchMemory Reason = "fetchMemory"
)

const (
	// MaxFetches bounds the fetches that are answered at the same time. An instance that starts a fetch has received a heartbeat of this one. Within
	// fetchTimeout an instance of the largest fleet sends some 80 pings and acks, and the control budget allows announcements of 12 KB, 190 messages.
	MaxFetches = 320
	// maxFetchesOfAddress bounds the fetches of one address. An instance begins another one each 150 ms until a reply begins, gives each up after
	// stallTimeout, and fetches cached parts besides: 7 at a time. The bound is twice that, for those that it has given up unnoticed.
	maxFetchesOfAddress = 14
	// silentAfter is how long a connection may take to send its request while others wait for its place. The request follows the handshake at once.
	silentAfter = 200 * time.Millisecond
)

type (
	// Reason says why a fetch was refused.
	Reason string

	// fetches holds the fetches of other instances that are being answered. It is safe for concurrent use.
	fetches struct {
		mu        sync.Mutex
		max       int
		open      map[*fetch]bool
		byAddress map[netip.Addr]int
	}

	// fetch is a fetch that is being answered.
	fetch struct {
		from  netip.Addr
		began time.Time
		// asked says that the request has arrived.
		asked bool
		// end closes the connection.
		end func()
	}
)

func newFetches(most int) *fetches {
	return &fetches{max: most, open: make(map[*fetch]bool), byAddress: make(map[netip.Addr]int)}
}

// begin admits a fetch of an address, or returns the reason for which it is refused. An invalid address stands for hosts on this machine, which have no bound
// of their own since several instances may run on it. If all places are taken, the oldest connection that should have sent
// its request by now is closed for it, and yielded is true. end closes the connection of the fetch.
func (f *fetches) begin(from netip.Addr, end func(), now time.Time) (admitted *fetch, yielded bool, refused Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.IsValid() && f.byAddress[from] >= maxFetchesOfAddress {
		return nil, false, ReasonFetchesOfAddress
	}
	if len(f.open) >= f.max {
		silent := f.oldestSilent(now)
		if silent == nil {
			return nil, false, ReasonFetches
		}
		silent.end()
		f.remove(silent)
		yielded = true
	}
	admitted = &fetch{from: from, began: now, end: end}
	f.open[admitted] = true
	f.byAddress[from]++
	return admitted, yielded, ""
}

// setAsked records that the request of a fetch has arrived.
func (f *fetches) setAsked(of *fetch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	of.asked = true
}

// finish ends a fetch. It does nothing if the fetch has yielded its place.
func (f *fetches) finish(of *fetch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(of)
}

// count returns the number of fetches that are being answered.
func (f *fetches) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// oldestSilent returns the oldest connection without a request for silentAfter, or nil.
func (f *fetches) oldestSilent(now time.Time) *fetch {
	var oldest *fetch
	for each := range f.open {
		if !each.asked && now.Sub(each.began) >= silentAfter && (oldest == nil || each.began.Before(oldest.began)) {
			oldest = each
		}
	}
	return oldest
}

func (f *fetches) remove(of *fetch) {
	if !f.open[of] {
		return
	}
	delete(f.open, of)
	if f.byAddress[of.from]--; f.byAddress[of.from] == 0 {
		delete(f.byAddress, of.from)
	}
}
