// Package instances follows the list of backend servers that the surroundings
// keep: control instances read it and tell the entries.
package instances

import (
	"context"
	"time"
)

// Instance is one start of a backend server.
type Instance struct {
	// ID is new at most starts.
	ID       string `cbor:"1,keyasint" json:"id"`
	Upstream string `cbor:"2,keyasint" json:"upstream"`
	// Address is an IP number and a port.
	Address       string `cbor:"3,keyasint" json:"address"`
	FailureDomain string `cbor:"4,keyasint,omitempty" json:"failure_domain,omitempty"`
	// Slots are the requests that it runs at once.
	Slots int `cbor:"5,keyasint,omitempty" json:"slots,omitempty"`
	// Leaving tells that it is about to stop.
	Leaving bool `cbor:"6,keyasint,omitempty" json:"leaving,omitempty"`
}

// Reading is the whole list as it was some time ago.
type Reading struct {
	Instances []Instance
	// Age is the time since the list was read at its source.
	Age time.Duration
}

// Lister reads the whole list once.
type Lister interface {
	List(ctx context.Context) (Reading, error)
}

// Listing is the list as one reader last saw it.
type Listing struct {
	// Reader is a random name of the reader that numbers the listings.
	Reader    string     `cbor:"1,keyasint"`
	Number    uint64     `cbor:"2,keyasint"`
	Instances []Instance `cbor:"3,keyasint,omitempty"`
}

// Matches tells whether both are the same state of the same reader.
func (l Listing) Matches(reader string, number uint64) bool {
	return l.Reader == reader && l.Number == number
}
