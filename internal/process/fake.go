package process

import (
	"net/http"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// Fake is a running fake of an external system, such as a backend server.
type Fake struct {
	listener *listener
}

// StartFake serves the handler of a fake on address. The caller ends it with
// Close.
func StartFake(network transport.Network, address string, handler http.Handler) (*Fake, error) {
	l, err := listen(network, address, handler, listenOptions{})
	if err != nil {
		return nil, err
	}
	return &Fake{listener: l}, nil
}

// Address returns the address that the listener is bound to.
func (f *Fake) Address() string {
	return f.listener.address()
}

// Close stops the listener and closes all connections.
func (f *Fake) Close() {
	f.listener.close()
}
