package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// An engine runs as a process of its own. What a request makes it do stands in the request's query: the size of the work and the form of the answer.
//
//	events=N gap=MS     a stream of N events, MS apart
//	first=MS            the time until the first event or the answer
//	pauseAfter=N pause=MS  preempted for MS after N events of this answer
//	unframed=1          the answer has neither a length nor chunks
//	bytes=N             the size of a plain answer
type engineProcess struct {
	id, service, zone, address string
	slots                      int
	cmd                        *exec.Cmd
	store                      *store
	record                     *record
	mu                         sync.Mutex
	state                      string
	born                       int64
	alive                      bool
	sequence                   int
	extra                      []string
	// onReport is called for each report of the process, and may be nil.
	onReport func(report)
}

// report is what an engine's process writes of a request.
type report struct {
	Engine string `json:"engine"`
	ID     string `json:"id"`
	What   string `json:"what"`
	Path   string `json:"path"`
	Events int    `json:"events"`
}

const (
	heartbeatInterval = 1200 * time.Millisecond
	slowFactor        = 5
	maxSilence        = 3
)

// start starts the engine's process and registers it. A later start is a new incarnation under the same id.
func (e *engineProcess) start() error {
	args := append([]string{"engine", e.address, e.id, strconv.Itoa(e.slots)}, e.extra...)
	cmd := exec.Command(os.Args[0], args...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.born, e.state, e.alive, e.sequence = time.Now().UnixMilli(), "ready", true, 0
	e.cmd = cmd
	e.mu.Unlock()
	e.register()
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewReader(out)
	if _, err := lines.ReadString('\n'); err != nil {
		return fmt.Errorf("engine %s did not start: %w", e.id, err)
	}
	go func() {
		decoder := json.NewDecoder(lines)
		for {
			var a report
			if decoder.Decode(&a) != nil {
				break
			}
			e.record.line("engine %s: %s %s %s, %d events", a.Engine, a.What, a.ID, a.Path, a.Events)
			if e.onReport != nil {
				e.onReport(a)
			}
		}
		_ = cmd.Wait()
		e.mu.Lock()
		if e.cmd == cmd {
			e.alive = false
		}
		e.mu.Unlock()
	}()
	go e.beat(cmd)
	e.record.line("engine %s (%s) runs at %s as process %d", e.id, e.service, e.address, cmd.Process.Pid)
	return nil
}

// beat removes the entry of a process that has ended after three heartbeats of silence. While the process lives, heartbeats change nothing in the store,
// as only the sequence would change.
func (e *engineProcess) beat(cmd *exec.Cmd) {
	for silent := 0; silent < maxSilence; {
		time.Sleep(heartbeatInterval)
		e.mu.Lock()
		current, alive, state := e.cmd == cmd, e.alive, e.state
		e.mu.Unlock()
		if !current || state == "gone" {
			return
		}
		if !alive {
			silent++
		}
	}
	e.store.remove("servers/" + e.id)
}

// entry returns the next entry of the engine.
func (e *engineProcess) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state, "warmupMs": 0,
		"sequence": e.sequence, "born": e.born,
	}
}

func (e *engineProcess) register() { e.store.put("servers/"+e.id, e.entry()) }

// setState writes an entry with another state.
func (e *engineProcess) setState(state string) {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	e.register()
}

// kill ends the process with SIGKILL.
func (e *engineProcess) kill() {
	e.record.line("engine %s is killed", e.id)
	_ = e.cmd.Process.Kill()
	for range 100 {
		e.mu.Lock()
		alive := e.alive
		e.mu.Unlock()
		if !alive {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (e *engineProcess) end() {
	e.mu.Lock()
	e.state = "gone"
	e.mu.Unlock()
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Kill()
	}
}

// serveEngine is the process of an engine.
func serveEngine(address, id string, slots int, extra []string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("ready")
	g := &engineServer{id: id, slots: make(chan struct{}, slots), out: json.NewEncoder(os.Stdout), flags: extra}
	speed := make(chan os.Signal, 1)
	signal.Notify(speed, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range speed {
			g.slow.Store(s == syscall.SIGUSR1)
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go g.serve(c)
	}
}

type engineServer struct {
	id    string
	slots chan struct{}
	mu    sync.Mutex
	out   *json.Encoder
	flags []string
	// slow says that work takes slowFactor times as long. SIGUSR1 sets it, and SIGUSR2 ends it.
	slow atomic.Bool
}

func (g *engineServer) report(r *http.Request, what string, events int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.out.Encode(report{Engine: g.id, ID: r.Header.Get("Vanillaroute-Request-Id"), What: what, Path: r.RequestURI, Events: events})
}

func (g *engineServer) has(flag string) bool {
	for _, f := range g.flags {
		if f == flag {
			return true
		}
	}
	return false
}

func (g *engineServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !g.answer(c, r) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (g *engineServer) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Vanillaroute-Request-Id")
	load := fmt.Sprintf("%d,0,%d", len(g.slots), cap(g.slots))
	switch {
	case r.URL.Path == "/health":
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nVanillaroute-Instance-Id: %s\r\nVanillaroute-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", g.id, load)
		return err == nil
	case r.URL.Path == "/kv-list":
		body := `{"epoch":1,"next":1,"held":[]}`
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	case id == "":
		_, err := io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nVanillaroute-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if want := r.Header.Get("Vanillaroute-Expect-Instance"); want != "" && want != g.id {
		g.report(r, "misdirected", 0)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nVanillaroute-Instance-Id: %s\r\nVanillaroute-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", g.id, id)
		return err == nil
	}
	if g.has("full") {
		g.report(r, "turns away", 0)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nVanillaroute-Not-Executed: 1\r\nRetry-After: 20\r\nVanillaroute-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	select {
	case g.slots <- struct{}{}:
	default:
		g.report(r, "shed", 0)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nVanillaroute-Not-Executed: 1\r\nVanillaroute-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	defer func() { <-g.slots }()
	g.report(r, "runs", 0)
	q := r.URL.Query()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nVanillaroute-Request-Id: %s\r\nVanillaroute-Response-Seal: seal.%s\r\nVanillaroute-Server-Load: %s\r\n", id, g.id, load)
	if strings.HasPrefix(r.URL.Path, "/plain/") {
		return g.answerPlain(c, r, head, q)
	}
	return g.answerStream(c, r, head, q)
}

func (g *engineServer) answerPlain(c net.Conn, r *http.Request, head string, q url.Values) bool {
	time.Sleep(ms(q, "first", 20))
	body := strings.Repeat("x", number(q, "bytes", 800))
	if q.Get("unframed") == "" {
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		g.report(r, "ends", 0)
		return err == nil
	}
	half := len(body) / 2
	_, _ = io.WriteString(c, head+"Connection: close\r\n\r\n"+body[:half])
	time.Sleep(ms(q, "pause", 0))
	_, _ = io.WriteString(c, body[half:])
	g.report(r, "ends", 0)
	return false
}

func (g *engineServer) answerStream(c net.Conn, r *http.Request, head string, q url.Values) bool {
	unframed := q.Get("unframed") != ""
	head += "Content-Type: text/event-stream\r\n"
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	// Most engines drop a request when its connection closes; the others work on.
	gone, keeps := make(chan struct{}), g.has("keeps")
	go func() {
		_ = c.SetReadDeadline(time.Time{})
		var one [1]byte
		if _, err := c.Read(one[:]); err != nil {
			if e, ok := err.(net.Error); !keeps && (!ok || !e.Timeout()) {
				close(gone)
			}
		}
	}()
	wait := func(d time.Duration) bool {
		if g.slow.Load() {
			d *= slowFactor
		}
		select {
		case <-gone:
			return false
		case <-time.After(d):
			return true
		}
	}
	if !wait(ms(q, "first", 50)) {
		g.report(r, "drops", 0)
		return false
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	all, gap := number(q, "events", 5), ms(q, "gap", 100)
	written := 0
	for i := from + 1; i <= all; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s/%d of %d\n\n", i, r.Header.Get("Vanillaroute-Request-Id"), i, all)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, head+event); err != nil && !keeps {
			g.report(r, "drops", i)
			return false
		}
		head = ""
		written++
		pause := gap
		if written == number(q, "pauseAfter", -1) {
			pause = ms(q, "pause", 0)
		}
		if i < all && !wait(pause) {
			g.report(r, "drops", i)
			return false
		}
	}
	if unframed {
		_, _ = io.WriteString(c, head)
		g.report(r, "ends", all)
		return false
	}
	_, err := io.WriteString(c, head+"0\r\n\r\n")
	g.report(r, "ends", all)
	_ = c.SetReadDeadline(time.Unix(1, 0))
	time.Sleep(time.Millisecond)
	_ = c.SetReadDeadline(time.Time{})
	return err == nil
}

func number(q url.Values, name string, otherwise int) int {
	if n, err := strconv.Atoi(q.Get(name)); err == nil {
		return n
	}
	return otherwise
}

func ms(q url.Values, name string, otherwise int) time.Duration {
	return time.Duration(number(q, name, otherwise)) * time.Millisecond
}
