package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/pause"
)

const (
	// meanCrowdInterval is the mean time between two crowds of uncontrolled callers, and meanCrowdDuration how long one stays on average.
	meanCrowdInterval = 900 * time.Millisecond
	meanCrowdDuration = 600 * time.Millisecond
	// crowdConnections is the number of connections of a crowd, and crowdBytes what each sends at most.
	crowdConnections = 20
	crowdBytes       = 256 << 10
)

// uncontrolled holds what uncontrolled callers send at the beginning and then again and again.
var uncontrolled = [][2]string{
	{"", ""},
	{"", strings.Repeat("\r\n", 1<<10)},
	{"GET /", strings.Repeat("x", 4<<10)},
	{"GET / HTTP/1.1\r\nHost: " + host + "\r\n", strings.Repeat("x:\r\n", 1<<10)},
	{"GET / HTTP/1.1\r\nHost: " + host + "\r\nX: " + strings.Repeat("x", 8<<10), ""},
	{"POST " + pathOnce + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 100\r\n\r\nx", ""},
	{"", "GET / HTTP/1.1\r\nHost: " + host + "\r\n\r\n"},
}

// sendUncontrolled sends crowds of callers that do not end their requests or read nothing to random listeners, for Options.Duration. A process that ends
// because of them is reported like any other. It has its own random numbers, so the faults of a seed stay the same.
func (r *run) sendUncontrolled(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, r.Seed+4))
	var crowds sync.WaitGroup
	defer crowds.Wait()
	for end := time.Now().Add(r.Duration); time.Now().Before(end) && pause.For(ctx, randomAround(rng, meanCrowdInterval)); {
		n, text, stay := r.instances[rng.IntN(len(r.instances))], uncontrolled[rng.IntN(len(uncontrolled))], randomAround(rng, meanCrowdDuration)
		address := net.JoinHostPort(n.ip, strconv.Itoa(callersPort+rng.IntN(3)))
		for range crowdConnections {
			crowds.Go(func() { sendWithoutEnd(address, text, time.Now().Add(stay)) })
		}
	}
}

// sendWithoutEnd sends over one connection until it is closed or has sent crowdBytes, and keeps it until a time.
func sendWithoutEnd(address string, text [2]string, until time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Until(until))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(until)
	_, err = io.WriteString(conn, text[0])
	for sent := 0; err == nil && text[1] != "" && sent < crowdBytes; sent += len(text[1]) {
		_, err = io.WriteString(conn, text[1])
	}
	time.Sleep(time.Until(until))
}
