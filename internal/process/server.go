// Package process wires the parts of each role into one process with dig.
package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// listener is an HTTP server on one address.
type listener struct {
	server *http.Server
	socket net.Listener
	done   chan struct{}
}

// listen starts to serve handler on address.
func listen(network transport.Network, address string, handler http.Handler) (*listener, error) {
	socket, err := network.Listen(address)
	if err != nil {
		return nil, errors.Newf("start listener: %w", err)
	}
	l := &listener{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		socket: socket,
		done:   make(chan struct{}),
	}
	go l.run()
	return l, nil
}

func (l *listener) run() {
	defer close(l.done)
	_ = l.server.Serve(l.socket)
}

// address returns the address that the listener has.
func (l *listener) address() string {
	return l.socket.Addr().String()
}

// shutdown takes no new connections and waits for the requests in progress
// until ctx ends; it then cuts them.
func (l *listener) shutdown(ctx context.Context) {
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	<-l.done
}

// close cuts all connections.
func (l *listener) close() {
	_ = l.server.Close()
	<-l.done
}

// parts closes what was opened in reverse order; its zero value works.
type parts struct {
	closers []func()
}

func (p *parts) add(closer func()) {
	p.closers = append(p.closers, closer)
}

func (p *parts) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
	p.closers = nil
}
