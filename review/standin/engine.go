package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type (
	// engineOptions are the behaviour of an engine stand-in.
	engineOptions struct {
		id, address string
		// slots is the number of requests that run at a time. Others wait until a slot is free or their deadline has passed.
		slots int
		// events, eventEvery and unframed describe the answers to requests whose path begins with /chat/.
		events     int
		eventEvery time.Duration
		unframed   bool
		// work is how long other requests take.
		work time.Duration
	}

	// engine is a stand-in for an engine. It writes a line for each step of a request to log.
	engine struct {
		engineOptions
		slot chan struct{}
		log  func(format string, args ...any)
	}
)

func newEngine(o engineOptions, log func(string, ...any)) *engine {
	return &engine{engineOptions: o, slot: make(chan struct{}, o.slots), log: log}
}

// serve accepts connections until the listener is closed.
func (e *engine) serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go e.serveConn(c)
	}
}

// serveConn serves one request after the other. A request ends when its connection is closed by the caller.
func (e *engine) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		next := make(chan error, 1)
		go func() {
			_, err := reader.Peek(1)
			if err != nil {
				cancel()
			}
			next <- err
		}()
		keep := e.handle(ctx, c, r)
		cancel()
		if !keep || <-next != nil {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (e *engine) handle(ctx context.Context, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Vanillaroute-Request-Id")
	if r.URL.Path == "/kv-list" {
		return e.write(c, http.StatusOK, id, false, "Content-Type: application/json\r\n", `{"epoch":1,"next":1,"held":[]}`)
	}
	if r.URL.Path == "/health" {
		return e.write(c, http.StatusOK, id, false, "Vanillaroute-Instance-Id: "+e.id+"\r\n", "")
	}
	e.log("reaches %s engine=%s path=%s tenant=%q deadline=%s key=%q", id, e.id, r.URL.Path, r.Header.Get("Vanillaroute-Tenant"),
		r.Header.Get("Vanillaroute-Deadline-Ms"), r.Header.Get("Authorization"))
	if want := r.Header.Get("Vanillaroute-Expect-Instance"); want != "" && want != e.id {
		return e.write(c, http.StatusMisdirectedRequest, id, false, "Vanillaroute-Instance-Id: "+e.id+"\r\n", "")
	}
	if ms, err := strconv.Atoi(r.Header.Get("Vanillaroute-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case e.slot <- struct{}{}:
		defer func() { <-e.slot }()
	default:
		select {
		case e.slot <- struct{}{}:
			defer func() { <-e.slot }()
		case <-ctx.Done():
			e.log("rejects %s engine=%s: the deadline has passed in the queue, or the caller has closed", id, e.id)
			return e.write(c, http.StatusServiceUnavailable, id, false, "Vanillaroute-Not-Executed: 1\r\n", "")
		}
	}
	e.log("runs %s engine=%s", id, e.id)
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		return e.stream(ctx, c, r, id)
	}
	select {
	case <-time.After(e.work):
	case <-ctx.Done():
		e.log("stops %s engine=%s", id, e.id)
		return e.write(c, http.StatusGatewayTimeout, id, true, "", "deadline")
	}
	e.log("ends %s engine=%s status=200", id, e.id)
	return e.write(c, http.StatusOK, id, true, "", "answer to "+id)
}

// stream sends the events after Last-Event-Id.
func (e *engine) stream(ctx context.Context, c net.Conn, r *http.Request, id string) bool {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	framing := "Transfer-Encoding: chunked\r\n"
	if e.unframed {
		framing = "Connection: close\r\n"
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nVanillaroute-Request-Id: " + id + "\r\nVanillaroute-Response-Seal: " + e.seal(id) + "\r\n" + framing + "\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := first; n <= e.events; n++ {
		select {
		case <-time.After(e.eventEvery):
		case <-ctx.Done():
			e.log("stops %s engine=%s before event %d of %d", id, e.id, n, e.events)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, e.events)
		if !e.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return false
		}
	}
	e.log("ends %s engine=%s after event %d of %d", id, e.id, e.events, e.events)
	if e.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (e *engine) seal(id string) string { return "seal." + e.id + "." + id }

func (e *engine) write(c net.Conn, status int, id string, sealed bool, fields, body string) bool {
	seal := ""
	if sealed {
		seal = "Vanillaroute-Response-Seal: " + e.seal(id) + "\r\n"
	}
	if id != "" {
		seal += "Vanillaroute-Request-Id: " + id + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), seal, fields, len(body), body)
	return err == nil
}
