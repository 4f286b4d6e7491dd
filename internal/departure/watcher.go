// Package departure reads the platform's list of live and leaving instances. The
// list lags, so that it is only a hint: it can take a backend server out of
// service, and never says that one is healthy.
package departure

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	listPath       = "/v1/instances"
	pollInterval   = 500 * time.Millisecond
	pollTimeout    = time.Second
	maxListBytes   = 16 << 20
	stateLeaving   = "leaving"
	maxPollBackoff = 8 * time.Second
)

type listBody struct {
	Instances []instanceBody `json:"instances"`
}

type instanceBody struct {
	// Address is an IP number and a port.
	Address string `json:"address"`
	State   string `json:"state"`
}

// Watcher polls the platform's list and tells Departures what it says.
type Watcher struct {
	// Address is the platform's, an IP number and a port.
	Address    string
	HTTP       *http.Client
	Log        *log.Logger
	Departures *Departures

	mu           sync.Mutex
	lastResponse time.Time

	stop context.CancelFunc
	done chan struct{}
}

// Start begins to poll.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.done = make(chan struct{})
	go w.run(ctx)
}

// Close ends the polling.
func (w *Watcher) Close() {
	w.stop()
	<-w.done
}

// LastResponse returns when the platform last answered.
func (w *Watcher) LastResponse() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastResponse
}

// run polls; after failures it waits longer each time, so that a platform in
// trouble is not pressed.
func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	wait := pollInterval
	for ctx.Err() == nil {
		err := w.poll(ctx)
		if err == nil {
			wait = pollInterval
		} else {
			w.Log.Debug("the platform's list could not be read", "err", err.Error())
			wait = min(2*wait, maxPollBackoff)
		}
		sleep.For(ctx, wait)
	}
}

// poll reads the list once. A call that went silent ends after pollTimeout,
// which closes its connection.
func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Address+listPath, nil)
	if err != nil {
		return errors.Newf("make request: %w", err)
	}
	response, err := w.HTTP.Do(request)
	if err != nil {
		return errors.Newf("call platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the platform answered %s", response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return errors.Newf("read list: %w", err)
	}
	var list listBody
	err = json.Unmarshal(data, &list)
	if err != nil {
		return errors.Newf("decode list: %w", err)
	}
	w.mu.Lock()
	w.lastResponse = time.Now()
	w.mu.Unlock()
	leaving := make(map[string]bool, len(list.Instances))
	for _, instance := range list.Instances {
		leaving[instance.Address] = instance.State == stateLeaving
	}
	w.Departures.ReportPlatform(leaving)
	return nil
}
