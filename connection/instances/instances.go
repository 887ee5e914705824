package instances

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/response"
	"github.com/vanillaroute/vanillaroute/version/fleet"
)

const (
	timeout      = 2 * time.Second
	idleTimeout  = 90 * time.Second
	maxListBytes = 32 << 20
)

// Client reads the list over HTTP. It uses the ETag to transfer the list only if it has changed.
type Client struct {
	url  string
	http *http.Client
	etag string
	last []fleet.Instance
}

// New returns a Client of the list at address, an IP address with a port.
func New(address string) *Client {
	return &Client{url: "http://" + address + "/instances", http: &http.Client{Timeout: timeout, Transport: response.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: idleTimeout})}}
}

// List returns the instances, or an error if the list can't be read or decoded. It is not safe for concurrent use.
func (c *Client) List(ctx context.Context) ([]fleet.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read list of instances")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return c.last, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("list of instances answered %s", resp.Status)
	}
	var list []fleet.Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "decode list of instances")
	}
	c.etag, c.last = resp.Header.Get("ETag"), list
	return list, nil
}
