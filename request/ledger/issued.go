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
	// IssuedKeyTTL is how long an issued key is valid and its answer can be repeated.
	IssuedKeyTTL = time.Hour

	issuedKeyPrefix = "vr1~"
	issuedKeyFields = 4
	maxIssuedKeys   = 50_000
)

// IssueKey returns a key whose call only this incarnation of this router executes, so that its intent need not be stored. It returns ""
// if too many keys are in use.
func (l *Ledger) IssueKey(now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.issuedKeys) >= maxIssuedKeys {
		return ""
	}
	key := issuedKeyPrefix + string(l.Self) + "~" + strconv.FormatUint(uint64(l.Incarnation), 36) + "~" + newNonce()
	l.issuedKeys[key] = now
	return key
}

// IsIssued reports whether a key has the format of an issued key.
func IsIssued(key string) bool {
	return strings.HasPrefix(key, issuedKeyPrefix) && strings.Count(key, "~") == issuedKeyFields-1
}

// IssuedBy returns the router that issued a key; the key must have the format of an issued one.
func IssuedBy(key string) ident.Router { return ident.Router(strings.Split(key, "~")[1]) }

// checkIssued returns a refusal for a key that this incarnation did not issue or that has expired, and nil otherwise.
func (l *Ledger) checkIssued(key string, now time.Time) *wire.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.issuedKeys[key]
	if !ok {
		r := wire.Refuse(http.StatusConflict, wire.CodeUnknown, "the router life that minted the key is over; the call may have run and is not run")
		r.Outcome = wire.OutcomeUnknown
		return r
	}
	if now.Sub(at) >= IssuedKeyTTL {
		r := wire.Refuse(http.StatusConflict, wire.CodeKeyExpired, "the key was minted more than %s ago; the call may have run", IssuedKeyTTL)
		r.Outcome = wire.OutcomeUnknown
		return r
	}
	return nil
}

func newNonce() string { return string(ident.NewRequest()) }
