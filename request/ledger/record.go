package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// Prefix is the prefix of all store keys of the ledger.
	Prefix = "/vanillaroute/once/"
	// RecordTTL is the minimum time for which a record is kept.
	RecordTTL = 24 * time.Hour
	// MaxStoredBody is the largest body of an answer that is recorded, in bytes.
	MaxStoredBody = 256 << 10
)

type (
	// record is the value in the store for one key.
	record struct {
		Owner       ident.Router      `json:"owner"`
		Incarnation ident.Incarnation `json:"incarnation"`
		Nonce       string            `json:"nonce"`
		BodyHash    string            `json:"bodyHash"`
		CreatedAtMs int64             `json:"createdAtMs"`
		Done        bool              `json:"done,omitempty"`
		Status      int               `json:"status,omitempty"`
		ContentType string            `json:"contentType,omitempty"`
		Body        []byte            `json:"body,omitempty"`
		BodyDropped bool              `json:"bodyDropped,omitempty"`
	}
)

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode record"))
	}
	return value
}

func decodeRecord(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode record")
}

func (r record) withAnswer(a wire.ServiceAnswer) record {
	r.Done = true
	r.Status = a.Status
	r.ContentType = a.ContentType
	r.Body = a.Body
	if len(a.Body) > MaxStoredBody {
		r.Body = nil
		r.BodyDropped = true
	}
	return r
}

func (r record) answer() wire.ServiceAnswer {
	if r.BodyDropped {
		return unknown("the call ran with status %d, but its answer was too large to keep", r.Status)
	}
	return wire.ServiceAnswer{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}

func storeKey(c wire.ServiceCall) string {
	sum := sha256.Sum256([]byte(string(c.Service) + "\x00" + c.Key))
	return Prefix + string(c.Organisation) + "/" + hex.EncodeToString(sum[:])
}

// bodyHash returns a hash of the method, path and body of a call. A key may be used again only with the same hash.
func bodyHash(c wire.ServiceCall) string {
	h := sha256.New()
	h.Write([]byte(c.Method + " " + c.Path + "\x00"))
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func refuse(r *wire.Refusal) wire.ServiceAnswer { return wire.ServiceAnswer{Refusal: r} }

func unknown(format string, args ...any) wire.ServiceAnswer {
	r := wire.Refuse(http.StatusConflict, wire.CodeUnknown, format, args...)
	r.Outcome = wire.OutcomeUnknown
	return refuse(r)
}

func keyReused() wire.ServiceAnswer {
	return refuse(wire.Refuse(http.StatusUnprocessableEntity, wire.CodeKeyReused, "the idempotency key was used with another call"))
}
