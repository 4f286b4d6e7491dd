package group

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	watchProcedure = "/group/watch"
	claimProcedure = "/group/claim"

	// watchWait bounds how long a watch call stays open without a change.
	watchWait = 5 * time.Second
	// watchTimeout bounds a whole watch call, so that a connection that went
	// silent is dropped.
	watchTimeout = watchWait + 2*time.Second
	watchRetry   = 250 * time.Millisecond
)

type watchRequest struct {
	Have uint64 `cbor:"1,keyasint"`
}

type watchResponse struct {
	Number   uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint,omitempty"`
}

// Handle serves entries on mux.
func (g *Group) Handle(mux *http.ServeMux, secret peer.Secret, groupLog Log) {
	peer.Handle(mux, secret, watchProcedure, g.serveWatch)
	peer.Handle(mux, secret, claimProcedure, func(ctx context.Context, request *claimRequest) (*Result, error) {
		return serveClaim(ctx, groupLog, request)
	})
}

func (g *Group) serveWatch(ctx context.Context, request *watchRequest) (*watchResponse, error) {
	timer := time.NewTimer(watchWait)
	defer timer.Stop()
	for {
		version, changed := g.Current()
		if version.Number > request.Have {
			return &watchResponse{Number: version.Number, Document: version.Document}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return &watchResponse{Number: version.Number}, nil
		case <-ctx.Done():
			return nil, errors.Newf("watch configuration: %w", ctx.Err())
		}
	}
}

// Active is a configuration version in force at an instance.
type Active struct {
	Number   uint64
	Document *config.Document
}

// Watcher keeps the newest configuration version that any control instance
// has shown. Versions never go back.
type Watcher struct {
	// Addresses are the control instances, the nearest first.
	Addresses []string
	Client    *peer.Client
	Log       *log.Logger
	Check     *invariant.Checker

	mu     sync.Mutex
	active Active
	ready  chan struct{}
	stop   context.CancelFunc
	done   chan struct{}
}

// Start begins to watch.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.done = make(chan struct{})
	w.ready = make(chan struct{})
	go w.run(ctx)
}

// Close ends the watch.
func (w *Watcher) Close() {
	w.stop()
	<-w.done
}

// Ready is closed once a version is in force.
func (w *Watcher) Ready() <-chan struct{} {
	return w.ready
}

// Active returns the version in force; its document is nil before Ready.
func (w *Watcher) Active() Active {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}

func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	next := 0
	for ctx.Err() == nil {
		err := w.poll(ctx, w.Addresses[next%len(w.Addresses)])
		if err == nil {
			continue
		}
		next++
		w.Log.Debug("configuration watch failed; trying the next control instance", "err", err)
		select {
		case <-time.After(watchRetry):
		case <-ctx.Done():
		}
	}
}

func (w *Watcher) poll(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	have := w.Active().Number
	response, err := peer.Call[watchRequest, watchResponse](ctx, w.Client, address, watchProcedure, &watchRequest{Have: have})
	if err != nil {
		return errors.Newf("watch %s: %w", address, err)
	}
	if response.Number <= have {
		return nil
	}
	return w.install(response)
}

func (w *Watcher) install(response *watchResponse) error {
	document, err := config.Parse(response.Document)
	if err != nil {
		return errors.Newf("parse version %d: %w", response.Number, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	err = w.Check.Check(response.Number > w.active.Number, invariant.VersionMonotonic, "version %d after %d", response.Number, w.active.Number)
	if err != nil {
		return errors.Newf("install configuration: %w", err)
	}
	first := w.active.Document == nil
	w.active = Active{Number: response.Number, Document: document}
	w.Log.Info("configuration in force", "version", response.Number)
	if first {
		close(w.ready)
	}
	return nil
}
