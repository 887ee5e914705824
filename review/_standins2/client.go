package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client sees of one request.
type answer struct {
	id       string
	status   int
	sealed   bool
	seal     string
	body     string
	events   int
	complete bool
	err      error
	sentAt   time.Time
	endedAt  time.Time
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client holds one kept connection to a router.
type client struct {
	conn    net.Conn
	in      *bufio.Reader
	address string
	record  *record
}

func dialRouter(r *router, rec *record) (*client, error) {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(context.Background(), "tcp", r.callers())
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, in: bufio.NewReader(conn), address: r.name, record: rec}, nil
}

// call describes a request of a client.
type call struct {
	method, target, key string
	deadline            time.Duration
	lastEvent           string
	body                string
	parts               string
}

// send sends a request and reads its answer to the end, or to the deadline.
func (c *client) send(k call) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nVanillaroute-Request-Id: %s\r\nVanillaroute-Deadline-Ms: %d\r\n", k.method, k.target, host, a.id, k.deadline.Milliseconds())
	if k.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", k.key)
	}
	if k.parts != "" {
		fmt.Fprintf(&b, "Vanillaroute-Model: m\r\nVanillaroute-Token-Usage: 600,80\r\nVanillaroute-Prompt-Prefix: %s\r\n", k.parts)
	}
	if k.lastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\n", k.lastEvent)
	}
	if k.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(k.body))
	}
	b.WriteString("\r\n" + k.body)
	c.record.line("client sends %s to %s: %s %s", a.id, c.address, k.method, k.target)
	_ = c.conn.SetDeadline(a.sentAt.Add(k.deadline + 500*time.Millisecond))
	if _, a.err = io.WriteString(c.conn, b.String()); a.err == nil {
		a.read(c.in, k.method)
	}
	a.endedAt = time.Now()
	c.record.line("client gets for %s: status %d, sealed %t, %d bytes, %d events, complete %t, error %v, after %s", a.id, a.status, a.sealed, len(a.body), a.events, a.complete, a.err, a.endedAt.Sub(a.sentAt).Round(time.Millisecond))
	return a
}

func (a *answer) read(in *bufio.Reader, method string) {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Vanillaroute-Response-Seal")
	a.sealed = a.seal != ""
	body, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(body), err, err == nil
	a.events = strings.Count(a.body, "\n\n")
}
