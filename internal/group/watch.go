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

	// maxWatchWait bounds how long a watch call stays open without a change.
	maxWatchWait = 5 * time.Second
	// maxListingWait replaces maxWatchWait for instances that need an
	// up-to-date age of their list of backend servers.
	maxListingWait = time.Second
	// batchWait is how long a response is delayed after a change, to include
	// the changes that follow shortly after.
	batchWait = 100 * time.Millisecond
	// maxDeltaChanges bounds the patches in one response.
	maxDeltaChanges = 64
)

// watchRequest requests the changes of the configuration after HaveVersion. It is
// also the heartbeat of the instance that sends it.
type watchRequest struct {
	HaveVersion uint64 `cbor:"1,keyasint"`
	// Wait keeps the call open until there is a change, for a limited time.
	Wait bool `cbor:"2,keyasint,omitempty"`
	// NumberOnly requests the version number without a document or patches.
	NumberOnly    bool         `cbor:"3,keyasint,omitempty"`
	Instance      string       `cbor:"4,keyasint,omitempty"`
	Epoch         string       `cbor:"5,keyasint,omitempty"`
	FailureDomain string       `cbor:"6,keyasint,omitempty"`
	Reachability  Reachability `cbor:"7,keyasint,omitempty"`
	Leaving       bool         `cbor:"8,keyasint,omitempty"`
	// ListingReader and ListingNumber identify the list of backend servers that
	// the instance has; an empty reader means that it has none.
	ListingReader string `cbor:"9,keyasint,omitempty"`
	ListingNumber uint64 `cbor:"10,keyasint,omitempty"`
	// Listing requests the list of backend servers as well.
	Listing bool `cbor:"11,keyasint,omitempty"`
	// DatagramAddress is where the instance receives datagrams from its peers,
	// and KnownPeersChecksum is the checksum of the peer addresses that it has.
	DatagramAddress    string `cbor:"12,keyasint,omitempty"`
	KnownPeersChecksum uint64 `cbor:"13,keyasint,omitempty"`
	// AcceptsCompressed means that the instance reads CompressedDocument and
	// CompressedPatch. Earlier versions don't.
	AcceptsCompressed bool `cbor:"14,keyasint,omitempty"`
}

// watchResponse updates the instance from the version that it has to Number, by
// one patch for each version, by one patch over all of them or by a whole
// document.
type watchResponse struct {
	Number   uint64   `cbor:"1,keyasint"`
	Patches  [][]byte `cbor:"2,keyasint,omitempty"`
	Document []byte   `cbor:"3,keyasint,omitempty"`
	// Checksum is the checksum of the document at Number.
	Checksum []byte `cbor:"4,keyasint,omitempty"`
	// HighestReported is the highest version that any instance reported to this
	// control instance.
	HighestReported uint64 `cbor:"5,keyasint,omitempty"`
	// Leaving means that the control instance is shutting down, so that the
	// instance should switch to another one.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// ControlAddresses are the addresses of the control group's members.
	ControlAddresses []string `cbor:"7,keyasint,omitempty"`
	// Listing is the newest list of backend servers, or nil if the instance
	// already has it.
	Listing *instances.Listing `cbor:"8,keyasint,omitempty"`
	// ListingAge is the time since the list was read, in milliseconds; it is
	// negative if there is no list.
	ListingAge int64 `cbor:"9,keyasint,omitempty"`
	// EntryCount is how many instances sent heartbeats recently.
	EntryCount int `cbor:"10,keyasint,omitempty"`
	// Lagging means that the control instance receives no messages from a
	// leader and may be behind other members.
	Lagging bool `cbor:"13,keyasint,omitempty"`
	// CombinedPatch is a single patch that spans several versions.
	CombinedPatch []byte `cbor:"14,keyasint,omitempty"`
	// Peers are the datagram addresses of the live instances, and PeersChecksum
	// is their checksum. Peers is omitted if the instance already has them.
	Peers         []string `cbor:"11,keyasint,omitempty"`
	PeersChecksum uint64   `cbor:"12,keyasint,omitempty"`
	// CompressedDocument and CompressedPatch replace Document and CombinedPatch. They
	// are compressed with gzip once for all instances.
	CompressedDocument []byte `cbor:"15,keyasint,omitempty"`
	CompressedPatch    []byte `cbor:"16,keyasint,omitempty"`
}

// Handle registers the watch, claim, exchange and quarantine procedures on mux. secret
// authenticates the callers; groupLog commits their commands.
func (g *Group) Handle(mux *http.ServeMux, secret peer.Secret, groupLog Log) {
	peer.Handle(mux, secret, watchProcedure, g.serveWatch)
	peer.Handle(mux, secret, claimProcedure, func(ctx context.Context, request *claimRequest) (*Result, error) {
		return serveClaim(ctx, groupLog, request)
	})
	peer.Handle(mux, secret, exchangeProcedure, func(ctx context.Context, request *Exchange) (*Result, error) {
		return g.serveExchange(ctx, groupLog, request)
	})
	peer.Handle(mux, secret, quarantineProcedure, func(ctx context.Context, request *ChangeQuarantine) (*Result, error) {
		result, err := Propose(ctx, groupLog, *request)
		if err != nil {
			return nil, err
		}
		return &result, nil
	})
}

// Drain ends the watch calls in progress, so that instances switch to another
// control instance.
func (g *Group) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leaving {
		g.leaving = true
		close(g.draining)
	}
}

// serveWatch records the heartbeat in a watch request and responds with what the
// instance lacks, after a wait if it lacks nothing.
func (g *Group) serveWatch(ctx context.Context, request *watchRequest) (*watchResponse, error) {
	highestReported := g.instances.recordHeartbeat(request, g.Check)
	if request.Wait && !g.isLagging() {
		err := g.waitForChange(ctx, request)
		if err != nil {
			return nil, err
		}
	}
	response := g.buildUpdate(request)
	if request.AcceptsCompressed {
		g.compress(request, response)
	}
	response.HighestReported = highestReported
	response.Lagging = g.isLagging()
	response.EntryCount = g.instances.liveCount()
	response.Peers, response.PeersChecksum = g.instances.datagramAddresses()
	if response.PeersChecksum == request.KnownPeersChecksum {
		response.Peers = nil
	}
	if g.Members != nil {
		response.ControlAddresses = g.Members()
	}
	g.addListing(request, response)
	return response, nil
}

func (g *Group) isLagging() bool {
	return g.Lagging != nil && g.Lagging()
}

// waitForChange returns shortly after there is something newer than the
// instance has, or after maxWatchWait.
func (g *Group) waitForChange(ctx context.Context, request *watchRequest) error {
	timer := time.NewTimer(g.maxWatchWait(request))
	defer timer.Stop()
	for {
		version, changed := g.Current()
		listed := g.listingChanged(request)
		if version.Number > request.HaveVersion || listed == nil {
			return g.waitForBatch(ctx)
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

// maxWatchWait returns how long a watch call may stay open. It is shorter for
// an instance that follows the list of backend servers, because each response
// also updates the age of that list.
func (g *Group) maxWatchWait(request *watchRequest) time.Duration {
	if request.Listing && g.Listings != nil {
		return maxListingWait
	}
	return maxWatchWait
}

// listingChanged returns a channel that is closed at the next change of the
// list of backend servers, or nil if the instance lacks the newest list. For an
// instance that does not follow the list, the channel is closed only when this
// control instance shuts down.
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

// addListing adds the list of backend servers, if requested, and its age to a
// response.
func (g *Group) addListing(request *watchRequest, response *watchResponse) {
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

// waitForBatch waits for batchWait, or until the instance starts to shut down.
func (g *Group) waitForBatch(ctx context.Context) error {
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

// buildUpdate returns the update from the version that the instance has to the
// newest: a patch for each version, one combined patch or the whole document.
func (g *Group) buildUpdate(request *watchRequest) *watchResponse {
	response := g.buildPatchUpdate(request)
	if len(response.Document) == 0 || request.HaveVersion == 0 {
		return response
	}
	combinedPatch := g.combinedPatch(request.HaveVersion, response.Number).data
	if len(combinedPatch) > 0 && len(combinedPatch) < len(response.Document) {
		response.CombinedPatch = combinedPatch
		response.Document = nil
	}
	return response
}

// buildPatchUpdate returns the patches after the version that the instance has,
// or the whole document if it is smaller or the history is too short.
func (g *Group) buildPatchUpdate(request *watchRequest) *watchResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.state.Configuration.current()
	response := &watchResponse{Number: current.Number, Leaving: g.leaving}
	if request.NumberOnly || current.Number <= request.HaveVersion {
		return response
	}
	response.Checksum = g.checksumOf(current)
	changes, complete := g.state.Configuration.changes(request.HaveVersion, maxDeltaChanges)
	total := 0
	for _, change := range changes {
		total += len(change.Patch)
	}
	reachesCurrent := complete && request.HaveVersion+uint64(len(changes)) == current.Number
	if request.HaveVersion > 0 && reachesCurrent && total < len(current.Document) {
		response.Patches = patchesOf(changes)
		return response
	}
	response.Document = current.Document
	return response
}

// checksumOf returns the checksum of the current version and caches it until
// the version changes.
func (g *Group) checksumOf(current Version) []byte {
	if g.checksumVersion != current.Number {
		g.checksum = config.Checksum(current.Document)
		g.checksumVersion = current.Number
	}
	return g.checksum
}
