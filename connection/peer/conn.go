package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	sendQueueFrames   = 1024
	streamQueueFrames = 256
	bufferBytes       = 64 << 10
)

var (
	// ErrClosed is returned by streams whose connection is closed or lost.
	ErrClosed = errors.New("connection to peer closed")

	errStreamOverrun = errors.New("peer sent more frames than were acknowledged")
)

type (
	// Conn is a connection to a peer, with one goroutine that reads and one that writes.
	Conn struct {
		raw     net.Conn
		send    chan wire.Frame
		done    chan struct{}
		once    sync.Once
		nextID  atomic.Uint64
		mu      sync.Mutex
		streams map[uint64]*Stream
		accept  func(*Stream, wire.Frame)
		limits  Limits
		// accepted is the number of streams that the peer has open; guarded by mu.
		accepted int
	}

	// Stream is one exchange of frames on a connection. Received frames wait for Receive in a list that grows as needed, up to
	// streamQueueFrames. ID is unique among the streams that one side opens.
	Stream struct {
		ID      uint64
		conn    *Conn
		mu      sync.Mutex
		frames  []wire.Frame
		arrived chan struct{}
		closed  bool
	}
)

// newConn wraps a connection. accept runs in its own goroutine for each stream that the peer opens. It is nil on the
// side that dialled, which accepts no streams.
func newConn(raw net.Conn, limits Limits, accept func(*Stream, wire.Frame)) *Conn {
	return &Conn{
		raw:     &deadlineConn{Conn: raw, limits: limits},
		limits:  limits,
		send:    make(chan wire.Frame, sendQueueFrames),
		done:    make(chan struct{}),
		streams: make(map[uint64]*Stream),
		accept:  accept,
	}
}

// Open opens a stream by sending its first frame. It fails with ErrClosed if the connection is lost, or with the error of ctx.
func (c *Conn) Open(ctx context.Context, kind wire.Kind, body []byte) (*Stream, error) {
	s := c.newStream(c.nextID.Add(1))
	c.mu.Lock()
	c.streams[s.ID] = s
	c.mu.Unlock()
	if err := s.Send(ctx, kind, body); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Post sends a frame that belongs to no stream and gets no reply. It fails like Open.
func (c *Conn) Post(ctx context.Context, kind wire.Kind, body []byte) error {
	return c.enqueue(ctx, wire.Frame{Kind: kind, Body: body})
}

// Done returns a channel that is closed when the connection is lost.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection and ends its streams.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.raw.Close()
	})
}

func (c *Conn) newStream(id uint64) *Stream {
	return &Stream{ID: id, conn: c, arrived: make(chan struct{}, 1)}
}

func (c *Conn) enqueue(ctx context.Context, f wire.Frame) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.send <- f:
		return nil
	case <-c.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeLoop writes queued frames and flushes once the queue is empty, so that frames are batched under load.
func (c *Conn) writeLoop() {
	defer c.Close()
	w := bufio.NewWriterSize(c.raw, bufferBytes)
	for {
		select {
		case f := <-c.send:
			if err := c.writeBatch(w, f); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *Conn) writeBatch(w *bufio.Writer, f wire.Frame) error {
	for {
		if err := wire.Write(w, f); err != nil {
			return err
		}
		select {
		case f = <-c.send:
			continue
		default:
			return w.Flush()
		}
	}
}

// readLoop dispatches received frames until the connection is lost. It always returns an error.
func (c *Conn) readLoop() error {
	defer c.Close()
	r := bufio.NewReaderSize(c.raw, bufferBytes)
	for {
		f, err := wire.Read(r)
		if err != nil {
			return err
		}
		if err := c.dispatch(f); err != nil {
			return err
		}
	}
}

func (c *Conn) dispatch(f wire.Frame) error {
	c.mu.Lock()
	s, known := c.streams[f.Stream]
	opens := f.Kind == wire.KindSubmit || f.Kind == wire.KindCall || f.Kind == wire.KindGossip
	if !known && opens && c.accept != nil {
		if !c.limits.admit(c.accepted, f.Kind) {
			c.mu.Unlock()
			return c.refuse(f)
		}
		c.accepted++
		s = c.newStream(f.Stream)
		if f.Stream != 0 {
			c.streams[f.Stream] = s
		}
		c.mu.Unlock()
		go c.serve(s, f)
		return nil
	}
	c.mu.Unlock()
	if !known {
		return nil
	}
	return s.deliver(f)
}

// deliver queues a frame for Receive. It fails if the peer has sent more unacknowledged frames than the window allows.
func (s *Stream) deliver(f wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if len(s.frames) >= streamQueueFrames {
		return errStreamOverrun
	}
	s.frames = append(s.frames, f)
	select {
	case s.arrived <- struct{}{}:
	default:
	}
	return nil
}

func (c *Conn) serve(s *Stream, f wire.Frame) {
	defer func() {
		s.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.accepted--
	}()
	c.accept(s, f)
}

// refuse answers the first frame of a stream that is not admitted. Like all frames the answer waits for room in the queue, so a peer that reads nothing gets
// no more of its frames read.
func (c *Conn) refuse(f wire.Frame) error {
	c.limits.report(ReasonStreams)
	if c.limits.Refusal == nil {
		return nil
	}
	kind, body, ok := c.limits.Refusal(f)
	if !ok {
		return nil
	}
	return c.enqueue(context.Background(), wire.Frame{Kind: kind, Stream: f.Stream, Body: body})
}

// Send queues a frame of the stream for writing. It fails with ErrClosed if the connection is lost, or with the error of ctx.
func (s *Stream) Send(ctx context.Context, kind wire.Kind, body []byte) error {
	return s.conn.enqueue(ctx, wire.Frame{Kind: kind, Stream: s.ID, Body: body})
}

// Receive returns the next frame. It fails with ErrClosed once the connection is lost and no frame is queued, or with the error of ctx.
func (s *Stream) Receive(ctx context.Context) (wire.Frame, error) {
	for {
		if f, ok := s.take(); ok {
			return f, nil
		}
		select {
		case <-s.arrived:
		case <-s.conn.done:
			if f, ok := s.take(); ok {
				return f, nil
			}
			return wire.Frame{}, ErrClosed
		case <-ctx.Done():
			return wire.Frame{}, ctx.Err()
		}
	}
}

func (s *Stream) take() (wire.Frame, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.frames) == 0 {
		return wire.Frame{}, false
	}
	f := s.frames[0]
	s.frames[0] = wire.Frame{}
	s.frames = s.frames[1:]
	return f, true
}

// Close removes the stream from the connection. Frames that still arrive for it are dropped.
func (s *Stream) Close() {
	s.mu.Lock()
	s.closed = true
	s.frames = nil
	s.mu.Unlock()
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	delete(s.conn.streams, s.ID)
}
