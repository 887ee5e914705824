package heartbeat

import (
	"net"
	"time"
)

// progressConn is a connection whose reads and writes fail after stallTimeout without progress, or fetchTimeout after its start.
type progressConn struct {
	net.Conn
	end time.Time
	// began is called at the first byte read, and may be nil.
	began func()
}

func newProgressConn(conn net.Conn, now time.Time, began func()) *progressConn {
	return &progressConn{Conn: conn, end: now.Add(fetchTimeout), began: began}
}

// Read reads some bytes.
func (c *progressConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.deadline(time.Now())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.began != nil {
		c.began()
		c.began = nil
	}
	return n, err
}

// Write writes p in chunks.
func (c *progressConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(c.deadline(time.Now())); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+chunkBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *progressConn) deadline(now time.Time) time.Time {
	if stalled := now.Add(stallTimeout); stalled.Before(c.end) {
		return stalled
	}
	return c.end
}
