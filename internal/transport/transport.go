// Package transport opens listeners and connections, over TCP or over a
// stand-in that tests can cut.
package transport

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout            = 2 * time.Second
	keepAliveIdle          = 2 * time.Second
	keepAliveInterval      = time.Second
	keepAliveCount         = 3
	idleConnectionTimeout  = 30 * time.Second
	idleConnectionsPerHost = 64
)

// Network listens and dials.
type Network interface {
	// Listen opens a listener on address, an IP number and a port.
	Listen(address string) (net.Listener, error)
	// DialContext connects to address.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the Network of the operating system; its zero value works.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Newf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// DialContext implements Network. Keep-alive probes end a connection whose
// other end has lost track of it.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Newf("dial %s: %w", address, err)
	}
	return conn, nil
}

// Client returns an HTTP client over network that follows no redirects. A call
// that times out drops the idle connections too, so that the next one goes
// over a new connection: whatever silenced one may have silenced them all.
func Client(network Network) *http.Client {
	return &http.Client{
		Transport: &roundTripper{next: &http.Transport{
			DialContext:         network.DialContext,
			MaxIdleConnsPerHost: idleConnectionsPerHost,
			IdleConnTimeout:     idleConnectionTimeout,
			DisableCompression:  true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
