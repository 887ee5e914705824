package heartbeat

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/members"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"github.com/vanillaroute/vanillaroute/wire"
	"golang.org/x/sync/errgroup"
)

const (
	// MaxDatagramBytes fits into one packet of a usual link.
	MaxDatagramBytes = 1300
	// Unconfirmed is the age of a replica that nobody has proven current.
	Unconfirmed = time.Duration(-1)

	// fetchTimeout bounds a fetch: 0.5 MB, which 10,000 engines take packed, need 0.4 s on the smallest links.
	fetchTimeout = 800 * time.Millisecond
	// failureBackoff keeps a listener that fails from spinning.
	failureBackoff = 10 * time.Millisecond
)

type (
	// Message is one heartbeat: who sends it, what it knows, and what it has.
	Message struct {
		// SentAt is when the sender sent it, by its own clock, where it wants an answer.
		SentAt boottime.Instant
		// EchoedSentAt is the Ask of the heartbeat that this one answers.
		EchoedSentAt  boottime.Instant
		PeerAddress   string
		CallerAddress string
		Domain        ident.Domain
		State         members.State
		Incarnation   ident.Incarnation
		// StoreUnreachable says that the sender cannot read the platform's store.
		StoreUnreachable bool
		// Warm says that the sender knows what engines hold of prompts.
		Warm bool
		// Revision is that of the sender's replica, and ProofAge how long ago it was known to be current.
		Revision     ident.Revision
		ConfirmedAge time.Duration
		// Changes bring the receiver's replica to Revision where they fit.
		Changes    []mirror.Entry
		HasChanges bool
		// LocalLoads are the sender's own requests at engines that state no load, and Stated what the others stated to it.
		LocalLoads    map[engines.Key]int
		ReportedLoads []Load
		// Backoffs are engines that the sender could not reach.
		Backoffs []Backoff
		Holders  []PartHolder
		// Observations are packed by PackRumours.
		Observations []byte
		// Suspects are requests that crashed engines.
		Suspects []wire.Suspect
	}

	// Millis is a time in milliseconds, which takes three bytes of a message up to a minute.
	Millis int64

	// Load is the load that an engine stated, with the time since.
	Load struct {
		Engine   engines.Key
		Requests int
		Age      Millis
	}

	// Backoff is an engine that is left alone, and for how long yet.
	Backoff struct {
		Engine    engines.Key
		Remaining Millis
	}

	// PartHolder is an engine that has read a part, with the time since.
	PartHolder struct {
		Part   placing.PartID
		Engine engines.Key
		Age    Millis
	}

	// FetchRequest says what an instance fetches from another.
	FetchRequest struct {
		// Since is the revision of the asker's replica.
		Since ident.Revision
		// Holders asks for what engines hold of prompts instead of the replica's lag.
		Holders bool
	}

	// FetchReply is a replica's lag with the age of its proof, or what engines hold of prompts.
	FetchReply struct {
		Delta        mirror.Delta
		ConfirmedAge time.Duration
		Holders      []PartHolder
	}

	// Conn sends and receives heartbeats.
	Conn struct {
		udp *net.UDPConn
		tcp *net.TCPListener
	}
)

// Listen takes the address for datagrams and connections.
func Listen(address string) (*Conn, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	udp, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats")
	}
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		_ = udp.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	return &Conn{udp: udp, tcp: tcp}, nil
}

// Close ends both listeners.
func (c *Conn) Close() {
	_ = c.udp.Close()
	_ = c.tcp.Close()
}

// Encode returns the datagram of a heartbeat, without its changes or with fewer holders and rumours where it would be too long.
func Encode(b Message) []byte {
	body := wire.Encode(b)
	if len(body) > MaxDatagramBytes {
		b.Changes, b.HasChanges = nil, false
		body = wire.Encode(b)
	}
	for len(body) > MaxDatagramBytes && len(b.Holders)+len(b.Observations)+len(b.LocalLoads)+len(b.ReportedLoads) > 0 {
		b.Holders = b.Holders[:len(b.Holders)/2]
		if len(b.Holders) == 0 {
			b.LocalLoads, b.ReportedLoads, b.Observations = nil, nil, nil
		}
		body = wire.Encode(b)
	}
	return body
}

// Send sends an encoded heartbeat.
func (c *Conn) Send(to string, body []byte) error {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	_, err = c.udp.WriteToUDPAddrPort(body, at)
	return errors.Wrap(err, "send heartbeat")
}

// MillisOf returns a time in whole milliseconds.
func MillisOf(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Duration returns the time as the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Run passes heartbeats to hear, answers fetches with what give returns, and tells failed of what could not be received,
// until ctx ends.
func (c *Conn) Run(ctx context.Context, hear func(Message), give func(FetchRequest) FetchReply, failed func(error)) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	group, _ := errgroup.WithContext(ctx)
	group.Go(func() error { return c.receive(ctx, hear, failed) })
	group.Go(func() error { return c.accept(ctx, give, failed) })
	return group.Wait()
}

// Fetch asks an instance; the proof is as old as the answer says when it was asked for.
func Fetch(ctx context.Context, from string, ask FetchRequest) (FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", from)
	if err != nil {
		return FetchReply{}, errors.Wrap(err, "connect to peer")
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
	if err := wire.Write(conn, wire.Frame{Kind: wire.KindCall, Body: wire.Encode(ask)}); err != nil {
		return FetchReply{}, err
	}
	f, err := wire.Read(conn)
	if err != nil {
		return FetchReply{}, errors.Wrap(err, "read replica")
	}
	body, err := decompress(f.Body)
	if err != nil {
		return FetchReply{}, errors.Wrap(err, "unpack replica")
	}
	return wire.Decode[FetchReply](body)
}

// compress compresses a reply: configurations shrink to a tenth, which counts on the smallest links.
func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(body []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), wire.MaxBodyBytes))
}

func (c *Conn) receive(ctx context.Context, hear func(Message), failed func(error)) error {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			failed(errors.Wrap(err, "receive heartbeat"))
			pause.For(ctx, failureBackoff)
			continue
		}
		b, err := wire.Decode[Message](buffer[:n])
		if err != nil {
			failed(errors.Wrapf(err, "decode heartbeat from %s", from))
			continue
		}
		hear(b)
	}
}

func (c *Conn) accept(ctx context.Context, give func(FetchRequest) FetchReply, failed func(error)) error {
	for {
		conn, err := c.tcp.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			failed(errors.Wrap(err, "accept fetch"))
			pause.For(ctx, failureBackoff)
			continue
		}
		go func() {
			if err := answer(conn, give); err != nil {
				failed(errors.Wrapf(err, "answer fetch of %s", conn.RemoteAddr()))
			}
		}()
	}
}

func answer(conn net.Conn, give func(FetchRequest) FetchReply) error {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
	f, err := wire.Read(conn)
	if err != nil {
		return err
	}
	ask, err := wire.Decode[FetchRequest](f.Body)
	if err != nil {
		return err
	}
	body, err := compress(wire.Encode(give(ask)))
	if err != nil {
		return err
	}
	return wire.Write(conn, wire.Frame{Kind: wire.KindReply, Body: body})
}
