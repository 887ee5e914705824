package idle

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/sizelimit"
)

const (
	// fieldBytes is what the fields of a head take beside their text, and headCopies how often a head is kept: by the HTTP server, as the header for
	// engines, and in the attempt. 1,500 heads of 72 KB in small fields took 320 KB each.
	fieldBytes = 96
	headCopies = 3
	// lingerTime and lingerBytes bound what is read after a refusal, so that the caller gets it before its own bytes reset the connection.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalTimeout bounds the time for writing a refusal.
	refusalTimeout = 100 * time.Millisecond
)

const (
	// phaseNew is a connection that has sent nothing, and phaseIdle one whose last request was answered.
	phaseNew phase = iota
	phaseIdle
	// phaseHead is a connection with an incomplete head.
	phaseHead
	// phaseComplete is a connection with a complete head that the server has not parsed yet, and phaseActive one with a request that is served.
	phaseComplete
	phaseActive
	// phaseRefused is a connection after a refusal, or with an incomplete head after its deadline.
	phaseRefused
)

type (
	phase int

	// conn is a connection that knows which part of a request it has received. It is ended through its read deadline, and so by the goroutine
	// that reads it. If another goroutine closed it, a request that had just been read could be lost.
	conn struct {
		net.Conn
		owner *Conns
		mu    sync.Mutex
		phase phase
		// since is when the phase began; a head begins with its first byte.
		since time.Time
		// deadline is when the phase ends, and serverDeadline the read deadline that the server has set. Zero means never.
		deadline, serverDeadline time.Time
		// closing says that the connection counts as one that is about to be closed.
		closing bool
		// headBytes and headLines count the incomplete head, and lineBytes its last line.
		headBytes, headLines, lineBytes int64
		// kept holds the memory of the head until its request ends. It is nil if heads are not bounded.
		kept *sizelimit.Holder
	}
)

// expiredDeadline is a deadline in the past, which ends a pending read at once.
var expiredDeadline = time.Unix(1, 0)

func newConn(raw net.Conn, owner *Conns, now time.Time) *conn {
	n := &conn{Conn: raw, owner: owner, since: now}
	if owner.Memory != nil {
		n.kept = owner.Memory.NewHolder()
	}
	return n
}

// Read reads from the connection and counts the bytes of a head. It refuses the request and fails if its head is above the limits.
func (n *conn) Read(p []byte) (int, error) {
	if n.isRefused() {
		// The server has taken the last bytes before the error for a line and asks for more.
		return 0, os.ErrDeadlineExceeded
	}
	if n.headTooLarge() {
		return 0, n.refuse(refusalTooLarge, ReasonHeadTooLarge)
	}
	count, err := n.Conn.Read(p)
	now := time.Now()
	if count > 0 && n.countHead(p[:count], now) != nil && !n.owner.makeRoom(n) {
		return 0, n.refuse(refusalNoMemory, ReasonNoMemory)
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		n.endHead()
	}
	return count, err
}

// headTooLarge reports whether the server needs more bytes of a head that has reached its limit.
func (n *conn) headTooLarge() bool {
	limit := n.owner.Limits().MaxHeadBytes
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.phase == phaseHead && limit > 0 && n.headBytes >= limit
}

// countHead counts received bytes up to the end of the head, and fails with *sizelimit.BudgetError if there is no memory for the head.
func (n *conn) countHead(received []byte, now time.Time) error {
	limits := n.owner.Limits()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch n.phase {
	case phaseNew, phaseIdle:
		n.phase, n.since = phaseHead, now
		n.headBytes, n.headLines, n.lineBytes = 0, 0, 0
		n.setDeadline(after(now, limits.HeadTimeout))
	case phaseHead:
	case phaseComplete, phaseActive, phaseRefused:
		return nil
	}
	for _, b := range received {
		n.headBytes++
		switch {
		case b == '\n' && n.lineBytes == 0 && n.headLines > 0:
			n.phase = phaseComplete
			return n.charge()
		case b == '\n':
			if n.lineBytes > 0 {
				n.headLines++
			}
			n.lineBytes = 0
		case b != '\r':
			n.lineBytes++
		}
	}
	return n.charge()
}

// charge charges the memory of the head. The caller holds mu.
func (n *conn) charge() error {
	if n.kept == nil {
		return nil
	}
	return n.kept.Resize(headCopies * (n.headBytes + fieldBytes*n.headLines))
}

// retryCharge charges the memory of the head after another connection has released some. final says that it need not be tried again: the connection is
// about to be closed, or its head is late.
func (n *conn) retryCharge(now time.Time) (charged, final bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.charge() == nil {
		return true, true
	}
	return false, n.closing || (!n.deadline.IsZero() && now.After(n.deadline))
}

// endHead ends a connection whose head is not complete at its deadline. Without it, the server takes the last bytes for a line and answers 400.
func (n *conn) endHead() {
	n.mu.Lock()
	late := n.phase == phaseHead && !n.closing
	if n.phase == phaseHead {
		n.phase = phaseRefused
	}
	n.mu.Unlock()
	if late {
		n.owner.report(ReasonHeadTimeout)
	}
}

// isRefused reports whether the connection must be neither read nor written to any more.
func (n *conn) isRefused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.phase == phaseRefused
}

// refuse answers a request whose head is not accepted, discards what the caller still sends for a short time, and returns an error for the server, which
// then closes the connection without another answer. The memory of the head stays charged until then, since the server keeps what it has parsed.
func (n *conn) refuse(answer string, reason Reason) error {
	n.mu.Lock()
	n.phase = phaseRefused
	n.mu.Unlock()
	n.owner.report(reason)
	_ = n.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(n.Conn, answer); err == nil {
		_ = n.CloseWrite()
		_ = n.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(n.Conn, lingerBytes))
	}
	return os.ErrDeadlineExceeded
}

// Write writes p. It fails if the caller reads nothing for the limit.
func (n *conn) Write(p []byte) (int, error) {
	if n.isRefused() {
		return 0, net.ErrClosed
	}
	limit := n.owner.Limits().WriteTimeout
	written := 0
	for {
		if limit > 0 {
			_ = n.SetWriteDeadline(time.Now().Add(limit))
		}
		count, err := n.Conn.Write(p[written:])
		written += count
		if err == nil {
			return written, nil
		}
		if limit <= 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		// A slow caller that has read a part since is not cut off.
		if count == 0 {
			n.owner.report(ReasonUnread)
			return written, err
		}
	}
}

// CloseWrite ends the answer. The server calls it before it waits for callers that still send, so the connection counts as about to be closed.
func (n *conn) CloseWrite() error {
	n.owner.markClosing(n)
	if half, ok := n.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline sets the earlier of t and the deadline of the phase.
func (n *conn) SetReadDeadline(t time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serverDeadline = t
	return n.applyDeadline()
}

// setDeadline sets the deadline of the phase. The caller holds mu.
func (n *conn) setDeadline(t time.Time) {
	n.deadline = t
	_ = n.applyDeadline()
}

// applyDeadline sets the earlier one of both deadlines. The caller holds mu.
func (n *conn) applyDeadline() error {
	t := n.serverDeadline
	if !n.deadline.IsZero() && (t.IsZero() || n.deadline.Before(t)) {
		t = n.deadline
	}
	return n.Conn.SetReadDeadline(t)
}

// start sets the deadline of a new connection.
func (n *conn) start(limits Limits) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setDeadline(after(n.since, limits.FirstByteTimeout))
}

// startIdle marks the connection as idle and releases the memory of its request.
func (n *conn) startIdle(limit time.Duration, now time.Time) {
	n.release()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.phase, n.since, n.deadline = phaseIdle, now, after(now, limit)
	// The deadline takes effect when the server next calls SetReadDeadline: until then it may not have finished the last answer.
}

// startRequest marks the head as complete: nothing but the server's deadlines ends the connection from now on.
func (n *conn) startRequest() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.phase == phaseRefused {
		return
	}
	n.phase = phaseActive
	n.setDeadline(time.Time{})
}

// release returns the memory of the head.
func (n *conn) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.headBytes, n.headLines, n.lineBytes = 0, 0, 0
	if n.kept != nil {
		n.kept.Release()
	}
}

// expireIfIdle ends the pending read, and so the connection, if no byte of a request has arrived.
func (n *conn) expireIfIdle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.phase == phaseNew || n.phase == phaseIdle {
		n.setDeadline(expiredDeadline)
	}
}

// expireIf ends the pending read if the connection is still in a phase, and reports whether it is. The memory of its head stays charged until the server
// has closed the connection. The caller holds the lock of Conns.
func (n *conn) expireIf(p phase) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.phase != p || n.closing {
		return false
	}
	n.closing = true
	n.setDeadline(expiredDeadline)
	return true
}

// after returns the time after a limit, or zero if there is no limit.
func after(now time.Time, limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return now.Add(limit)
}
