package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type (
	// client is one connection to an entry instance.
	client struct {
		conn   net.Conn
		reader *bufio.Reader
	}

	// request is what a client sends.
	request struct {
		method, host, path, id, key string
		deadline                    time.Duration
		// prefix is the value of Vanillaroute-Prompt-Prefix, or empty.
		prefix string
		body   string
	}

	// answer is what a client gets. err is set if the connection ended before the answer was complete.
	answer struct {
		status int
		header http.Header
		body   []byte
		err    error
		took   time.Duration
	}
)

func dialClient(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, reader: bufio.NewReader(c)}, nil
}

func (c *client) send(r request) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nVanillaroute-Request-Id: %s\r\n", r.method, r.path, r.host, r.id)
	fmt.Fprintf(&out, "Vanillaroute-Deadline-Ms: %d\r\n", r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&out, "Authorization: Bearer %s\r\n", r.key)
	}
	if r.prefix != "" {
		fmt.Fprintf(&out, "Vanillaroute-Model: m\r\nVanillaroute-Token-Usage: 1460,80\r\nVanillaroute-Prompt-Prefix: %s\r\n", r.prefix)
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(r.body))
	}
	out.WriteString("\r\n" + r.body)
	_, err := c.conn.Write(out.Bytes())
	return err
}

// read reads the answer to the last request within a time.
func (c *client) read(method string, within time.Duration) answer {
	began := time.Now()
	_ = c.conn.SetReadDeadline(began.Add(within))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return answer{status: resp.StatusCode, header: resp.Header, body: body, err: err, took: time.Since(began)}
}

func (c *client) do(r request, within time.Duration) answer {
	if err := c.send(r); err != nil {
		return answer{err: err}
	}
	return c.read(r.method, within)
}

func (c *client) close() { _ = c.conn.Close() }

// events returns the ids of the events in a stream, in order.
func events(body []byte) []int {
	var ids []int
	for line := range strings.Lines(string(body)) {
		if text, ok := strings.CutPrefix(line, "id:"); ok {
			if id, err := strconv.Atoi(strings.TrimSpace(text)); err == nil {
				ids = append(ids, id)
			}
		}
	}
	return ids
}
