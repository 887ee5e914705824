package heartbeat

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// entryBytes is what an entry of a reply takes beside its key and value, and holderBytes what a holder takes.
	entryBytes  = 24
	holderBytes = 24
)

// responder answers fetches.
type responder struct {
	memory *sizelimit.Budget
	serve  func(FetchRequest) FetchReply
	// encoding is held while a reply is encoded and compressed, which takes 1 MB beside the reply.
	encoding sync.Mutex
}

// answer answers the fetch on a connection and closes it. asked is called once the request has arrived. It fails with *sizelimit.BudgetError if there is no
// memory for the reply, and then sends nothing.
func (r *responder) answer(raw net.Conn, asked func()) error {
	defer func() { _ = raw.Close() }()
	conn := newProgressConn(raw, time.Now(), nil)
	f, err := wire.ReadUpTo(conn, maxRequestBytes)
	if err != nil {
		return err
	}
	asked()
	request, err := wire.Decode[FetchRequest](f.Body)
	if err != nil {
		return err
	}
	held := r.memory.NewHolder()
	defer held.Release()
	body, err := r.encode(request, conn.end, held)
	if err != nil {
		return err
	}
	return wire.Write(conn, wire.Frame{Kind: wire.KindReply, Body: body})
}

// encode returns the encoded and compressed reply to a request, whose bytes held keeps. It fails with *sizelimit.BudgetError, or if end has passed before its
// turn.
func (r *responder) encode(request FetchRequest, end time.Time, held *sizelimit.Holder) ([]byte, error) {
	r.encoding.Lock()
	defer r.encoding.Unlock()
	if time.Now().After(end) {
		return nil, os.ErrDeadlineExceeded
	}
	reply := r.serve(request)
	if err := held.Resize(reply.size()); err != nil {
		return nil, err
	}
	body, err := compress(encodeReply(reply))
	if err != nil {
		return nil, err
	}
	return body, held.Resize(int64(cap(body)))
}

// size returns about how many bytes the encoded reply takes.
func (r FetchReply) size() int64 {
	bytes := int64(len(r.Holders) * holderBytes)
	for _, e := range r.Delta.Entries {
		bytes += int64(len(e.Key) + len(e.Value) + entryBytes)
	}
	return bytes
}
