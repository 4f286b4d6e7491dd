package group

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	watchProcedure = "/group/watch"
	claimProcedure = "/group/claim"

	// watchWait bounds how long a watch call stays open without a change.
	watchWait = 5 * time.Second
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
}

// watchResponse leads from the version that the instance has to Number, by
// one patch for each version or by a whole document.
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
}

// Handle serves entries on mux.
func (g *Group) Handle(mux *http.ServeMux, secret peer.Secret, groupLog Log) {
	peer.Handle(mux, secret, watchProcedure, g.serveWatch)
	peer.Handle(mux, secret, claimProcedure, func(ctx context.Context, request *claimRequest) (*Result, error) {
		return serveClaim(ctx, groupLog, request)
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
	if request.Wait {
		err := g.waitChange(ctx, request.Have)
		if err != nil {
			return nil, err
		}
	}
	response := g.answerWatch(request)
	response.Known = known
	return response, nil
}

// waitChange returns when there is a version above have, after a short wait
// for more of them, or after watchWait.
func (g *Group) waitChange(ctx context.Context, have uint64) error {
	timer := time.NewTimer(watchWait)
	defer timer.Stop()
	for {
		version, changed := g.Current()
		if version.Number > have {
			return g.waitBatch(ctx)
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-g.draining:
			return nil
		case <-ctx.Done():
			return errors.Newf("watch configuration: %w", ctx.Err())
		}
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

// answerWatch returns the changes after the version that the instance has, or
// the whole document when it is smaller or the history is too short.
func (g *Group) answerWatch(request *watchRequest) *watchResponse {
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
