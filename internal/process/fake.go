package process

import (
	"net/http"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// Fake is a running stand-in.
type Fake struct {
	listener *listener
}

// StartFake serves a stand-in's handler on address.
func StartFake(network transport.Network, address string, handler http.Handler) (*Fake, error) {
	l, err := listen(network, address, handler)
	if err != nil {
		return nil, err
	}
	return &Fake{listener: l}, nil
}

// Address returns the address that the stand-in has.
func (f *Fake) Address() string {
	return f.listener.address()
}

// Close cuts all connections.
func (f *Fake) Close() {
	f.listener.close()
}
