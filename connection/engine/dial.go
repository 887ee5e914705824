package engine

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout     = time.Second
	keepAlivePeriod = 15 * time.Second
)

var dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}

// Dial connects to an engine or service. It fails with *DialError.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, &DialError{Cause: err}
	}
	return conn, nil
}

// transportError returns the *DialError in err, or else err as a *TruncatedError.
func transportError(err error) error {
	var dial *DialError
	if errors.As(err, &dial) {
		return dial
	}
	return &TruncatedError{Cause: err}
}
