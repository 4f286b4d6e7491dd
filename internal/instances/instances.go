// Package instances follows the list of backend servers that the platform
// provides. Control instances poll the list and pass it to the entries.
package instances

import (
	"context"
	"time"
)

// Instance describes one run of a backend server.
type Instance struct {
	// ID usually changes when the backend server restarts, but not always.
	ID       string `cbor:"1,keyasint" json:"id"`
	Upstream string `cbor:"2,keyasint" json:"upstream"`
	// Address is an IP address and port.
	Address       string `cbor:"3,keyasint" json:"address"`
	FailureDomain string `cbor:"4,keyasint,omitempty" json:"failure_domain,omitempty"`
	// Slots is the number of requests that the server runs at once.
	Slots int `cbor:"5,keyasint,omitempty" json:"slots,omitempty"`
	// Version is the version of the server's software; empty if the list states none.
	Version string `cbor:"7,keyasint,omitempty" json:"version,omitempty"`
	// Leaving is set when the server is about to stop.
	Leaving bool `cbor:"6,keyasint,omitempty" json:"leaving,omitempty"`
	// Cold is set while the server is cold after its start. It is no remaining time, which
	// would change the list at each read.
	Cold bool `cbor:"8,keyasint,omitempty" json:"cold,omitempty"`
	// ColdStated is set if the list says whether the server is cold.
	ColdStated bool `cbor:"9,keyasint,omitempty" json:"cold_stated,omitempty"`
}

// Reading is the complete list as it was Age ago.
type Reading struct {
	Instances []Instance
	// Age is the time since the list was current at its source.
	Age time.Duration
	// Skipped are the items that name no server to use.
	Skipped Skipped
}

// Lister reads the complete list of backend servers.
type Lister interface {
	List(ctx context.Context) (Reading, error)
}

// Listing is a numbered version of the list, from one Poller.
type Listing struct {
	// Reader is the random name of the Poller that assigned Number. Numbers of
	// different Pollers can't be compared.
	Reader    string     `cbor:"1,keyasint"`
	Number    uint64     `cbor:"2,keyasint"`
	Instances []Instance `cbor:"3,keyasint,omitempty"`
}

// Matches reports whether the listing has the given reader and number.
func (l Listing) Matches(reader string, number uint64) bool {
	return l.Reader == reader && l.Number == number
}
