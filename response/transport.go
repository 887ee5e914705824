package response

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails for malformed responses. Responses to requests over TLS are not checked.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests with base, whose connections it checks from now on.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base: base}
}

// RoundTrip sends a request and returns the response.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *Conn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		var ok bool
		if conn, ok = info.Conn.(*Conn); ok {
			_ = conn.expect(nil)
		}
	}})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil || conn == nil {
		return resp, err
	}
	if conn.isExpecting() {
		// The response began before the request was sent.
		_ = conn.Close()
		_ = resp.Body.Close()
		return nil, &MalformedError{"it belongs to no request"}
	}
	conn.guardBody(resp)
	return resp, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
