package capacity

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const headerTimeout = 5 * time.Second

// server is an HTTP server on a free loopback port.
type server struct {
	address string
	http    *http.Server
	done    chan struct{}
}

func serve(handler http.Handler) (*server, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Newf("listen on loopback: %w", err)
	}
	s := &server{
		address: socket.Addr().String(),
		http:    &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		done:    make(chan struct{}),
	}
	go s.run(socket)
	return s, nil
}

func (s *server) run(socket net.Listener) {
	defer close(s.done)
	_ = s.http.Serve(socket)
}

func (s *server) close() {
	_ = s.http.Close()
	<-s.done
}
