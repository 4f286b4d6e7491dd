// Package transport opens listeners and connections, over TCP or over a simulated
// network that tests can interrupt.
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

// Network opens listeners and connections. Its methods may be called concurrently.
type Network interface {
	// Listen opens a listener on address, which is an IP address and a port.
	Listen(address string) (net.Listener, error)
	// DialContext connects to address. The name of the network, such as "tcp", is
	// that of net.Dialer.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the Network of the operating system. Its zero value is ready to use.
type TCP struct {
	// Source is the IP address that connections are opened from; empty means that the
	// operating system chooses one.
	Source string
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Newf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// DialContext implements Network. Keep-alive probes close a connection whose peer
// no longer knows it, and the TCP user timeout closes one whose peer acknowledges
// nothing. A read returns io.EOF only after the peer has ended the connection in order.
func (t TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
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
	if t.Source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(t.Source)}
	}
	dialed, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Newf("dial %s: %w", address, err)
	}
	tcp, ok := dialed.(*net.TCPConn)
	if !ok {
		return dialed, nil
	}
	wrapped, err := newConn(tcp)
	if err != nil {
		_ = dialed.Close()
		return nil, errors.Newf("dial %s: %w", address, err)
	}
	return wrapped, nil
}

// Client returns an HTTP client over network that follows no redirects and doesn't
// resend requests with an idempotency key. A request that times out also closes the
// idle connections, so that the next request opens a new one: the network fault
// that stopped one connection from delivering data may affect all of them.
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
