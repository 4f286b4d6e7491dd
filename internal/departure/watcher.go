// Package departure tracks which backend servers are leaving and polls the
// platform's list of instances for that purpose. The list lags behind, so it is
// only a hint: it can take a backend server out of service, but does not prove
// that one is healthy.
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
	// Address is an IP address and a port.
	Address string `json:"address"`
	State   string `json:"state"`
}

// Watcher polls the platform's list of instances and reports it to Departures.
type Watcher struct {
	// Address is the platform's IP address and port.
	Address    string
	HTTP       *http.Client
	Log        *log.Logger
	Departures *Departures

	mu           sync.Mutex
	lastResponse time.Time

	stop context.CancelFunc
	done chan struct{}
}

// Start starts to poll in the background. Close must be called to stop.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.done = make(chan struct{})
	go w.run(ctx)
}

// Close stops polling and waits until the background work has ended.
func (w *Watcher) Close() {
	w.stop()
	<-w.done
}

// LastResponse returns when the platform last returned a valid list; it is zero
// before the first.
func (w *Watcher) LastResponse() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastResponse
}

// run polls the list with exponential backoff after failures, so that an
// overloaded platform gets fewer requests.
func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	wait := pollInterval
	for ctx.Err() == nil {
		err := w.poll(ctx)
		if err == nil {
			wait = pollInterval
		} else {
			w.Log.Debug("cannot read the platform's list of instances; retrying", "err", err.Error())
			wait = min(2*wait, maxPollBackoff)
		}
		sleep.For(ctx, wait)
	}
}

// poll reads the list once. pollTimeout ends a call on a connection that no
// longer delivers data and closes that connection.
func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Address+listPath, nil)
	if err != nil {
		return errors.Newf("create request: %w", err)
	}
	response, err := w.HTTP.Do(request)
	if err != nil {
		return errors.Newf("request the platform's list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("platform responded with status %s", response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return errors.Newf("read the platform's list: %w", err)
	}
	var list listBody
	err = json.Unmarshal(data, &list)
	if err != nil {
		return errors.Newf("decode the platform's list: %w", err)
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
