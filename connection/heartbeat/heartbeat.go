package heartbeat

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/request/admission"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/members"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"github.com/vanillaroute/vanillaroute/wire"
	"golang.org/x/sync/errgroup"
)

const (
	// MaxDatagramBytes is small enough for a single packet on common links.
	MaxDatagramBytes = 1300
	// Unconfirmed is the confirmed age of a replica that was never confirmed to be current.
	Unconfirmed = time.Duration(-1)
	// NeverAnswered is the age of an answer that never came.
	NeverAnswered = Millis(-1)

	// stallTimeout bounds each pause within a fetch, and fetchTimeout the whole fetch: 10,000 engines take 0.5 MB compressed, which needs
	// 0.4 s on the slowest links, and several instances may fetch from the same one.
	stallTimeout = 800 * time.Millisecond
	fetchTimeout = 4 * time.Second
	// maxRequestBytes bounds a FetchRequest, which takes some 12 bytes.
	maxRequestBytes = 1 << 10
	// chunkBytes is the size of the writes of a reply; stallTimeout applies to each.
	chunkBytes = 16 << 10
	// sendBufferBytes bounds what the kernel keeps of a reply, which would else no longer be charged although nobody has read it.
	sendBufferBytes = 64 << 10
	// failureBackoff keeps a failing listener from spinning.
	failureBackoff = 10 * time.Millisecond
)

type (
	// Message is one heartbeat: the sender's identity and state, its replica's revision, and what it shares with the receiver. The order of its
	// fields, and of those of the types below, is the wire format.
	Message struct {
		// SentAt is the sender's own clock at sending if it wants an answer, and 0 otherwise.
		SentAt boottime.Instant
		// EchoedSentAt is the SentAt of the heartbeat that this one answers, and 0 if it answers none.
		EchoedSentAt  boottime.Instant
		PeerAddress   string
		CallerAddress string
		Domain        ident.Domain
		State         members.State
		Incarnation   ident.Incarnation
		// StoreUnreachable reports that the sender cannot read the platform's store.
		StoreUnreachable bool
		// Warm reports that the sender knows which parts of prompts the engines have cached.
		Warm bool
		// Revision is the revision of the sender's replica, and ConfirmedAge the time since it was last confirmed to be current.
		Revision     ident.Revision
		ConfirmedAge time.Duration
		// Changes bring the receiver's replica up to Revision. HasChanges is false if they are left out.
		Changes    []mirror.Entry
		HasChanges bool
		// LocalLoads counts the sender's own requests at engines that report no load, and is nil if it is left out. ReportedLoads holds the loads that the other
		// engines reported to the sender. Both and the holders are sent in extensions; earlier versions send them here.
		LocalLoads    map[engines.Key]int
		ReportedLoads []Load
		// Backoffs lists the engines that the sender could not reach.
		Backoffs []Backoff
		Holders  []PartHolder
		// Observations is a list encoded by PackObservations.
		Observations []byte
		// Suspects is empty. Earlier versions expect the field.
		Suspects []wire.Suspect
		// Surges lists subjects of prompts for which requests suddenly rise. They are sent in an extension.
		Surges []placing.PartID `msgpack:"-"`
		// Parts and Requests hold evidence on the parts of prompts and the requests on which engines crash. They are sent in extensions.
		Parts    []Evidence `msgpack:"-"`
		Requests []Evidence `msgpack:"-"`
		// Ends lists engines whose processes have ended. It is sent in an extension.
		Ends []EngineEnd `msgpack:"-"`
		// Limits holds what engines have said about their limits. It is sent in an extension.
		Limits []Limit `msgpack:"-"`
		// Demands is what the sender sees of plain services. It is sent in an extension of pings.
		Demands []Demand `msgpack:"-"`
		// Running counts the sender's own requests at all engines of a service. It is sent in an extension.
		Running []ServiceLoad `msgpack:"-"`
		// Colds lists cold engines, and Sharers is the length of the sender's list of instances. They are sent in an extension.
		Colds   []ColdEngine `msgpack:"-"`
		Sharers int          `msgpack:"-"`
		// Works is what the sender sees of services in engine time. It is sent in an extension of pings, if the sender counts work.
		Works []Demand `msgpack:"-"`
	}

	// ServiceLoad is the number of an instance's own requests at the engines of a service.
	ServiceLoad struct {
		Service  ident.ServiceID
		Requests int
	}

	// Demand is admission.Demand in a message.
	Demand struct {
		Service           ident.ServiceID
		Arrivals, Answers Hundredths
		AnswerTime        Millis
		// Routes and Organisations hold the arrivals by class.
		Routes, Organisations []ClassDemand
	}

	// ClassDemand is admission.ClassDemand in a message.
	ClassDemand struct {
		ID       admission.ClassID
		Priority routing.Priority
		Arrivals Hundredths
	}

	// Hundredths is a count in hundredths. It takes at most three bytes of a message up to 655.35.
	Hundredths uint32

	// Limit is what an engine takes from all instances together, 0 for no limit, and the time since it said so.
	Limit struct {
		Engine engines.Key
		Rate   placing.RequestRate
		Age    Millis
	}

	// Evidence is the evidence for and against a request or a part of prompts.
	Evidence struct {
		ID      suspects.ID
		Crashes []Crash
		// Answered is the time since an engine last completed an answer on it, or NeverAnswered.
		Answered Millis
	}

	// Crash is the crash of an engine, and the time since.
	Crash struct {
		Engine engines.Key
		Age    Millis
	}

	// EngineEnd is an engine whose process was found to have ended, and the time since.
	EngineEnd struct {
		Engine engines.Key
		Age    Millis
	}

	// Millis is a duration in milliseconds. It takes at most three bytes of a message up to a minute.
	Millis int64

	// Load is the load that an engine reported, and the age of the report.
	Load struct {
		Engine   engines.Key
		Requests int
		Age      Millis
	}

	// Backoff is an engine in back-off, and the time until the back-off ends.
	Backoff struct {
		Engine    engines.Key
		Remaining Millis
	}

	// PartHolder is an engine that has cached a part of a prompt, and the time since it last read the part.
	PartHolder struct {
		Part   placing.PartID
		Engine engines.Key
		Age    Millis
	}

	// FetchRequest is what one instance asks another for over TCP.
	FetchRequest struct {
		// Since is the revision of the requester's replica.
		Since ident.Revision
		// Holders asks for the cached parts of prompts instead of the changes since Since.
		Holders bool
	}

	// FetchReply holds the changes that the requester's replica lacks and the sender's confirmed age, or the cached parts of prompts.
	FetchReply struct {
		Delta        mirror.Delta
		ConfirmedAge time.Duration
		Holders      []PartHolder
	}

	// gapExtension follows a FetchReply.
	gapExtension struct {
		Gaps []mirror.Gap
	}

	// Conn sends and receives heartbeats, and serves fetches.
	Conn struct {
		udp     *net.UDPConn
		tcp     *net.TCPListener
		limits  Limits
		fetches *fetches
		// onStreams is called for each StreamMessage, or nil.
		onStreams func(from string, m StreamMessage)
	}

	// Limits bound what other hosts can make a Conn keep.
	Limits struct {
		// Fetches is the number of fetches that are answered at the same time.
		Fetches int
		// Memory is charged with the bytes of replies.
		Memory *sizelimit.Budget
		// OnRefuse is called for each fetch that is refused.
		OnRefuse func(Reason)
	}
)

// Listen opens the address for UDP heartbeats and TCP fetches.
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
	c := &Conn{udp: udp, tcp: tcp}
	c.SetLimits(Limits{Fetches: MaxFetches, Memory: sizelimit.NewBudget(math.MaxInt64), OnRefuse: func(Reason) {}})
	return c, nil
}

// SetLimits sets the limits. It is called before Run; without it, replies take any memory.
func (c *Conn) SetLimits(l Limits) {
	c.limits, c.fetches = l, newFetches(l.Fetches)
}

// Fetches returns the number of fetches of other instances that are being answered.
func (c *Conn) Fetches() int { return c.fetches.count() }

// Close closes both listeners.
func (c *Conn) Close() {
	_ = c.udp.Close()
	_ = c.tcp.Close()
}

// Send sends an encoded heartbeat to an IP address with a port.
func (c *Conn) Send(to string, body []byte) error {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	_, err = c.udp.WriteToUDPAddrPort(body, at)
	return errors.Wrap(err, "send heartbeat")
}

// MillisOf returns the duration in whole milliseconds, rounded down.
func MillisOf(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Run passes each heartbeat to onMessage, answers fetches with the result of serve, and passes errors of either to onError. It closes the
// listeners and returns the error of ctx when that ends.
func (c *Conn) Run(ctx context.Context, onMessage func(Message), serve func(FetchRequest) FetchReply, onError func(error)) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	group, _ := errgroup.WithContext(ctx)
	group.Go(func() error { return c.receive(ctx, onMessage, onError) })
	group.Go(func() error { return c.accept(ctx, serve, onError) })
	return group.Wait()
}

// Fetch requests changes or cached parts from the instance at an address, and calls began when the first byte of the reply arrives. The
// reply's ConfirmedAge is relative to the time of the request. It fails with *sizelimit.BudgetError if there is no memory for the reply.
func (c *Conn) Fetch(ctx context.Context, from string, request FetchRequest, began func()) (FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d := net.Dialer{Timeout: stallTimeout}
	raw, err := d.DialContext(ctx, "tcp", from)
	if err != nil {
		return FetchReply{}, errors.Wrap(err, "connect to peer")
	}
	defer func() { _ = raw.Close() }()
	conn := newProgressConn(raw, time.Now(), began)
	if err := wire.Write(conn, wire.Frame{Kind: wire.KindCall, Body: wire.Encode(request)}); err != nil {
		return FetchReply{}, err
	}
	return readReply(conn, c.limits.Memory)
}

// readReply reads a reply, whose bytes are charged to memory until it is decoded.
func readReply(from io.Reader, memory *sizelimit.Budget) (FetchReply, error) {
	compressed, text := memory.NewHolder(), memory.NewHolder()
	defer compressed.Release()
	defer text.Release()
	f, err := wire.ReadReserved(from, wire.MaxBodyBytes, compressed.Resize)
	if err != nil {
		return FetchReply{}, errors.Wrap(err, "read fetched reply")
	}
	body, err := text.ReadAll(flate.NewReader(bytes.NewReader(f.Body)), -1, wire.MaxBodyBytes)
	if err != nil {
		return FetchReply{}, errors.Wrap(err, "decompress fetched reply")
	}
	return decodeReply(body)
}

// encodeReply encodes a reply, and the gaps of its delta in an extension that earlier versions ignore.
func encodeReply(r FetchReply) []byte {
	body := wire.Encode(r)
	if len(r.Delta.Gaps) == 0 {
		return body
	}
	return append(body, wire.Encode(gapExtension{Gaps: r.Delta.Gaps})...)
}

func decodeReply(body []byte) (FetchReply, error) {
	r, rest, err := wire.DecodeFirst[FetchReply](body)
	if err != nil || len(rest) == 0 {
		return r, err
	}
	return r, decodeExtension(&rest, func(e gapExtension) { r.Delta.Gaps = e.Gaps })
}

// compress compresses a reply. Configurations shrink to a tenth, which matters on the slowest links.
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

func (c *Conn) receive(ctx context.Context, onMessage func(Message), onError func(error)) error {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			onError(errors.Wrap(err, "receive heartbeat"))
			pause.For(ctx, failureBackoff)
			continue
		}
		if handled, err := c.receiveStreams(buffer[:n], from); handled {
			if err != nil {
				onError(err)
			}
			continue
		}
		m, err := Decode(buffer[:n])
		if err != nil {
			onError(errors.Wrapf(err, "decode heartbeat from %s", from))
			continue
		}
		onMessage(m)
	}
}

func (c *Conn) accept(ctx context.Context, serve func(FetchRequest) FetchReply, onError func(error)) error {
	r := &responder{memory: c.limits.Memory, serve: serve}
	for {
		conn, err := c.tcp.AcceptTCP()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			onError(errors.Wrap(err, "accept fetch"))
			pause.For(ctx, failureBackoff)
			continue
		}
		// Without the bound the connection works as well.
		_ = conn.SetWriteBuffer(sendBufferBytes)
		admitted, yielded, refused := c.fetches.begin(sourceOf(conn), func() { _ = conn.Close() }, time.Now())
		if yielded {
			c.limits.OnRefuse(ReasonFetchSilent)
		}
		if refused != "" {
			_ = conn.Close()
			c.limits.OnRefuse(refused)
			continue
		}
		go func() {
			defer c.fetches.finish(admitted)
			err := r.answer(conn, func() { c.fetches.setAsked(admitted) })
			var full *sizelimit.BudgetError
			switch {
			case errors.As(err, &full):
				c.limits.OnRefuse(ReasonFetchMemory)
			case err != nil:
				onError(errors.Wrapf(err, "answer fetch of %s", conn.RemoteAddr()))
			}
		}()
	}
}

// sourceOf returns the IP address of the other end of a connection, or an invalid one if that is on this machine.
func sourceOf(conn net.Conn) netip.Addr {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	local, localOk := conn.LocalAddr().(*net.TCPAddr)
	if !ok || !localOk || remote.IP.IsLoopback() || remote.IP.Equal(local.IP) {
		return netip.Addr{}
	}
	return remote.AddrPort().Addr().Unmap()
}
