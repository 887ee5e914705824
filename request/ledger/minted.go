package ledger

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// MintedLife is how long a minted key may be used, and its answer repeated.
	MintedLife = time.Hour

	mintedPrefix = "vr1~"
	mintedParts  = 4
	maxMinted    = 50_000
)

// Mint returns a key that only this incarnation of this router runs, so that it needs no store; "" where too many are out.
func (l *Ledger) Mint(now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.minted) >= maxMinted {
		return ""
	}
	key := mintedPrefix + string(l.Self) + "~" + strconv.FormatUint(uint64(l.Incarnation), 36) + "~" + newNonce()
	l.minted[key] = now
	return key
}

// IsMinted reports whether a key has the form of a minted one.
func IsMinted(key string) bool {
	return strings.HasPrefix(key, mintedPrefix) && strings.Count(key, "~") == mintedParts-1
}

// MintedBy returns the router that minted a key.
func MintedBy(key string) ident.Router { return ident.Router(strings.Split(key, "~")[1]) }

// checkMinted refuses a key that this incarnation did not mint, or minted too long ago.
func (l *Ledger) checkMinted(key string, now time.Time) *wire.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.minted[key]
	if !ok {
		r := wire.Refuse(http.StatusConflict, wire.CodeUnknown, "the router life that minted the key is over; the call may have run and is not run")
		r.Outcome = wire.OutcomeUnknown
		return r
	}
	if now.Sub(at) >= MintedLife {
		r := wire.Refuse(http.StatusConflict, wire.CodeKeyExpired, "the key was minted more than %s ago; the call may have run", MintedLife)
		r.Outcome = wire.OutcomeUnknown
		return r
	}
	return nil
}

func newNonce() string { return string(ident.NewRequest()) }
