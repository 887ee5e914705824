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
	// ErrClosed tells that the connection of a stream was lost.
	ErrClosed = errors.New("connection to peer closed")

	errStreamOverrun = errors.New("peer sent more frames than were acknowledged")
)

type (
	// Conn is one connection to a peer, with one reading and one writing task.
	Conn struct {
		raw     net.Conn
		send    chan wire.Frame
		done    chan struct{}
		once    sync.Once
		nextID  atomic.Uint64
		mu      sync.Mutex
		streams map[uint64]*Stream
		accept  func(*Stream, wire.Frame)
	}

	// Stream is one exchange of frames on a connection; what has arrived waits in a list that grows as needed.
	Stream struct {
		ID      uint64
		conn    *Conn
		mu      sync.Mutex
		frames  []wire.Frame
		arrived chan struct{}
		closed  bool
	}
)

// newConn wraps a connection; accept runs in a task of its own for each stream that the peer opens.
func newConn(raw net.Conn, accept func(*Stream, wire.Frame)) *Conn {
	return &Conn{
		raw:     raw,
		send:    make(chan wire.Frame, sendQueueFrames),
		done:    make(chan struct{}),
		streams: make(map[uint64]*Stream),
		accept:  accept,
	}
}

// Open starts a stream with its first frame, and fails where the connection is lost.
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

// Post sends a frame that belongs to no stream and is not answered.
func (c *Conn) Post(ctx context.Context, kind wire.Kind, body []byte) error {
	return c.enqueue(ctx, wire.Frame{Kind: kind, Body: body})
}

// Done is closed when the connection is lost.
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

// writeLoop flushes whenever no more frames wait, so that a busy connection batches by itself.
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

// readLoop reads until the connection is lost; the side that dialled accepts no streams.
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

// deliver queues a frame for the stream's reader, and fails where the peer ignores the window.
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
	defer s.Close()
	c.accept(s, f)
}

// Send queues a frame of the stream, and fails where the connection is lost.
func (s *Stream) Send(ctx context.Context, kind wire.Kind, body []byte) error {
	return s.conn.enqueue(ctx, wire.Frame{Kind: kind, Stream: s.ID, Body: body})
}

// Receive returns the next frame, and fails with ErrClosed where the connection is lost.
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

// Close forgets the stream; frames that still arrive for it are dropped.
func (s *Stream) Close() {
	s.mu.Lock()
	s.closed = true
	s.frames = nil
	s.mu.Unlock()
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	delete(s.conn.streams, s.ID)
}
