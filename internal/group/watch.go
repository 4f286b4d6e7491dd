package group

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	watchProcedure = "/group/watch"
	claimProcedure = "/group/claim"

	// watchWait bounds how long a watch call stays open without a change.
	watchWait = 5 * time.Second
	// listingWait is watchWait for instances that must know how old their list
	// of backend servers is.
	listingWait = time.Second
	// batchWait is how long the first change of a batch waits for more.
	batchWait = 100 * time.Millisecond
	// maxDeltaChanges bounds the changes of one answer.
	maxDeltaChanges = 64
)

// watchRequest asks for what follows a version. It is also the heartbeat of
// the instance that sends it.
type watchRequest struct {
	Have uint64 `cbor:"1,keyasint"`
	// Wait holds the call open until there is a change.
	Wait bool `cbor:"2,keyasint,omitempty"`
	// NumberOnly asks for neither document nor changes.
	NumberOnly    bool   `cbor:"3,keyasint,omitempty"`
	Instance      string `cbor:"4,keyasint,omitempty"`
	Incarnation   string `cbor:"5,keyasint,omitempty"`
	FailureDomain string `cbor:"6,keyasint,omitempty"`
	Basis         Basis  `cbor:"7,keyasint,omitempty"`
	Leaving       bool   `cbor:"8,keyasint,omitempty"`
	// ListingReader and ListingNumber name the listing of backend servers that
	// the instance has; an empty reader with Listing set asks for any.
	ListingReader string `cbor:"9,keyasint,omitempty"`
	ListingNumber uint64 `cbor:"10,keyasint,omitempty"`
	// Listing asks for the listing of backend servers too.
	Listing bool `cbor:"11,keyasint,omitempty"`
	// Datagrams is where the instance takes datagrams of others like it, and
	// KnownPeers the sum of the others that it knows.
	Datagrams  string `cbor:"12,keyasint,omitempty"`
	KnownPeers uint64 `cbor:"13,keyasint,omitempty"`
}

// watchResponse leads from the version that the instance has to Number, by
// one patch for each version, by one patch for all of them or by a whole
// document.
type watchResponse struct {
	Number   uint64   `cbor:"1,keyasint"`
	Patches  [][]byte `cbor:"2,keyasint,omitempty"`
	Document []byte   `cbor:"3,keyasint,omitempty"`
	// Sum is the sum of the document at Number.
	Sum []byte `cbor:"4,keyasint,omitempty"`
	// Known is the highest version that any instance reported here.
	Known uint64 `cbor:"5,keyasint,omitempty"`
	// Leaving asks the instance to go to another control instance.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Controls are the addresses of the control group's members.
	Controls []string `cbor:"7,keyasint,omitempty"`
	// Listing is the newest list of backend servers, unless the instance has
	// it already.
	Listing *instances.Listing `cbor:"8,keyasint,omitempty"`
	// ListingAge is the time since the list was read, in milliseconds; below
	// zero it never was.
	ListingAge int64 `cbor:"9,keyasint,omitempty"`
	// Entries is how many instances were heard lately.
	Entries int `cbor:"10,keyasint,omitempty"`
	// Lagging tells that the control instance does not hear its leader and may
	// know less than others.
	Lagging bool `cbor:"13,keyasint,omitempty"`
	// Jump is a single patch that leads over several versions.
	Jump []byte `cbor:"14,keyasint,omitempty"`
	// Peers are where the live instances take datagrams, and PeersSum is their
	// sum; they are left out when the instance knows them.
	Peers    []string `cbor:"11,keyasint,omitempty"`
	PeersSum uint64   `cbor:"12,keyasint,omitempty"`
}

// Handle serves entries on mux.
func (g *Group) Handle(mux *http.ServeMux, secret peer.Secret, groupLog Log) {
	peer.Handle(mux, secret, watchProcedure, g.serveWatch)
	peer.Handle(mux, secret, claimProcedure, func(ctx context.Context, request *claimRequest) (*Result, error) {
		return serveClaim(ctx, groupLog, request)
	})
	peer.Handle(mux, secret, exchangeProcedure, func(ctx context.Context, request *Exchange) (*Result, error) {
		return g.serveExchange(ctx, groupLog, request)
	})
}

// Drain ends the watch calls in progress, so that instances go to another
// control instance.
func (g *Group) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leaving {
		g.leaving = true
		close(g.draining)
	}
}

func (g *Group) serveWatch(ctx context.Context, request *watchRequest) (*watchResponse, error) {
	known := g.instances.hear(request, g.Check)
	if request.Wait && !g.isLagging() {
		err := g.waitChange(ctx, request)
		if err != nil {
			return nil, err
		}
	}
	response := g.answerWatch(request)
	response.Known = known
	response.Lagging = g.isLagging()
	response.Entries = g.instances.live()
	response.Peers, response.PeersSum = g.instances.peers()
	if response.PeersSum == request.KnownPeers {
		response.Peers = nil
	}
	if g.Members != nil {
		response.Controls = g.Members()
	}
	g.answerListing(request, response)
	return response, nil
}

func (g *Group) isLagging() bool {
	return g.Lagging != nil && g.Lagging()
}

// waitChange returns when there is something newer than the instance has,
// after a short wait for more of it, or after watchWait.
func (g *Group) waitChange(ctx context.Context, request *watchRequest) error {
	timer := time.NewTimer(g.watchWait(request))
	defer timer.Stop()
	for {
		version, changed := g.Current()
		listed := g.listingChanged(request)
		if version.Number > request.Have || listed == nil {
			return g.waitBatch(ctx)
		}
		select {
		case <-changed:
		case <-listed:
		case <-timer.C:
			return nil
		case <-g.draining:
			return nil
		case <-ctx.Done():
			return errors.Newf("watch configuration: %w", ctx.Err())
		}
	}
}

// watchWait is shorter for an instance that follows the list of backend
// servers, whose age it must know.
func (g *Group) watchWait(request *watchRequest) time.Duration {
	if request.Listing && g.Listings != nil {
		return listingWait
	}
	return watchWait
}

// listingChanged returns a channel that is closed at the next change of the
// list, or nil when the instance does not have the newest one.
func (g *Group) listingChanged(request *watchRequest) <-chan struct{} {
	if !request.Listing || g.Listings == nil {
		return g.draining
	}
	listing, age, changed := g.Listings.Current()
	if age >= 0 && !listing.Matches(request.ListingReader, request.ListingNumber) {
		return nil
	}
	return changed
}

// answerListing adds the list of backend servers to an answer.
func (g *Group) answerListing(request *watchRequest, response *watchResponse) {
	if !request.Listing || g.Listings == nil {
		response.ListingAge = -1
		return
	}
	listing, age, _ := g.Listings.Current()
	response.ListingAge = age.Milliseconds()
	if age < 0 {
		response.ListingAge = -1
		return
	}
	if !listing.Matches(request.ListingReader, request.ListingNumber) {
		response.Listing = &listing
	}
}

func (g *Group) waitBatch(ctx context.Context) error {
	timer := time.NewTimer(batchWait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-g.draining:
		return nil
	case <-ctx.Done():
		return errors.Newf("watch configuration: %w", ctx.Err())
	}
}

// answerWatch returns what leads from the version that the instance has to the
// newest: its changes, one patch over all of them or the whole document.
func (g *Group) answerWatch(request *watchRequest) *watchResponse {
	response := g.answerChanges(request)
	if len(response.Document) == 0 || request.Have == 0 {
		return response
	}
	jump := g.jump(request.Have, response.Number)
	if len(jump) > 0 && len(jump) < len(response.Document) {
		response.Jump = jump
		response.Document = nil
	}
	return response
}

// answerChanges returns the changes after the version that the instance has, or
// the whole document when it is smaller or the history is too short.
func (g *Group) answerChanges(request *watchRequest) *watchResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.state.Configuration.current()
	response := &watchResponse{Number: current.Number, Leaving: g.leaving}
	if request.NumberOnly || current.Number <= request.Have {
		return response
	}
	response.Sum = g.sumOf(current)
	changes, complete := g.state.Configuration.changes(request.Have, maxDeltaChanges)
	total := 0
	for _, change := range changes {
		total += len(change.Patch)
	}
	reaches := complete && request.Have+uint64(len(changes)) == current.Number
	if request.Have > 0 && reaches && total < len(current.Document) {
		response.Patches = patchesOf(changes)
		return response
	}
	response.Document = current.Document
	return response
}

// sumOf returns the sum of the current version, computed once a version.
func (g *Group) sumOf(current Version) []byte {
	if g.summed != current.Number {
		g.sum = config.Sum(current.Document)
		g.summed = current.Number
	}
	return g.sum
}
