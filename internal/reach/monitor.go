// Package reach finds out whether an entry has lost its path to the backend servers of an
// upstream while other entries still reach them. The entry's own attempts raise the
// question, the answers of the others and a few probes decide it.
package reach

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// checkInterval is the time between two looks at the paths.
	checkInterval = 100 * time.Millisecond
	// askInterval is the time between two questions to other entries about one upstream.
	askInterval = 200 * time.Millisecond
	// probeInterval is the least time between two probes of one upstream, and
	// probeTimeout bounds each.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// probedServers is how many servers a probe asks at once.
	probedServers = 2
	// connectionTime is how long a connection must stay open that is probe enough:
	// something in front of a server may accept it first.
	connectionTime = 20 * time.Millisecond
)

// Peers knows what other entries say of their paths to backend servers. Its methods may be
// called concurrently.
type Peers interface {
	// AskReach asks some entries when the servers of an upstream last answered them. It
	// does not block.
	AskReach(upstream string)
	// Reaching returns the addresses of the entries that said that servers of the upstream
	// have answered them after the given time.
	Reaching(upstream string, after time.Time) []string
}

// Monitor watches the paths of one entry. Set its exported fields before Start.
type Monitor struct {
	Fleet  *place.Fleet
	Client *upstream.Client
	Peers  Peers
	// HealthPath returns the path of the health check of an upstream's servers; empty if
	// they have none, and then a connection is probe enough.
	HealthPath func(upstream string) string
	// Answered, if not nil, is called with the response to a probe that was sent at the
	// given time.
	Answered func(endpoint place.Endpoint, sentAt time.Time, response *upstream.Response)
	Log      *log.Logger

	// wake holds an element while unconfirmed servers may have to be probed at once.
	wake chan struct{}
	// watches holds the upstreams whose paths seem broken. It belongs to run.
	watches map[string]*watch
	probes  sync.WaitGroup
	stop    context.CancelFunc
	done    chan struct{}
}

// watch is the state of one upstream whose path seems broken.
type watch struct {
	askedAt  time.Time
	probedAt time.Time
}

// Start starts to watch in the background. It sets Fleet.ProbeNeeded and must be called before
// the first Fleet.Pick.
func (m *Monitor) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.wake = make(chan struct{}, 1)
	m.Fleet.ProbeNeeded = func() {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
	m.stop = cancel
	m.done = make(chan struct{})
	m.watches = make(map[string]*watch)
	go m.run(ctx)
}

// Close stops watching and waits until probes have ended.
func (m *Monitor) Close() {
	m.stop()
	<-m.done
	m.probes.Wait()
}

// run looks at the paths until ctx ends.
func (m *Monitor) run(ctx context.Context) {
	defer close(m.done)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.check(ctx)
			m.probeCold(ctx, m.Fleet.StartColdProbes(time.Now()))
		case <-m.wake:
			m.probeCold(ctx, m.Fleet.StartUnconfirmedProbes(time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

// check asks other entries about the upstreams whose paths seem broken, and probes their
// servers.
func (m *Monitor) check(ctx context.Context) {
	now := time.Now()
	broken := make(map[string]bool)
	for _, path := range m.Fleet.BrokenPaths(now) {
		broken[path.Upstream] = true
		w := m.watches[path.Upstream]
		if w == nil {
			w = &watch{}
			m.watches[path.Upstream] = w
		}
		if now.Sub(w.askedAt) >= askInterval {
			w.askedAt = now
			m.Peers.AskReach(path.Upstream)
		}
		if now.Sub(w.probedAt) >= probeInterval {
			w.probedAt = now
			m.probes.Go(func() { m.probe(ctx, path) })
		}
	}
	for upstream := range m.watches {
		if !broken[upstream] {
			delete(m.watches, upstream)
		}
	}
}

// probeCold asks servers that may have started again whether they are cold.
func (m *Monitor) probeCold(ctx context.Context, endpoints []place.Endpoint) {
	for _, endpoint := range endpoints {
		m.probes.Go(func() {
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			result := m.ask(probeCtx, endpoint)
			m.Fleet.EndColdProbe(endpoint, result, time.Now())
		})
	}
}

// probe asks some servers of an upstream and records whether one has answered.
func (m *Monitor) probe(ctx context.Context, path place.Path) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	endpoints := m.Fleet.Endpoints(path.Upstream, probedServers, time.Now())
	if len(endpoints) == 0 {
		return
	}
	var asked sync.WaitGroup
	var reached atomic.Bool
	for _, endpoint := range endpoints {
		asked.Go(func() {
			if m.ask(probeCtx, endpoint) == place.Answered {
				reached.Store(true)
			}
		})
	}
	asked.Wait()
	if ctx.Err() == nil {
		m.record(path, reached.Load())
	}
}

// record records the result of a probe. If no server has answered it and none can be
// reached, although other entries have had answers since the trouble began, the path is cut
// off.
func (m *Monitor) record(path place.Path, reached bool) {
	now := time.Now()
	others := m.Peers.Reaching(path.Upstream, m.Fleet.ProvenSince(path.Upstream, now))
	switch {
	case reached:
		m.Fleet.Reached(path.Upstream, now)
		if path.CutOff {
			m.Log.Info("backend servers in reach again", "upstream", path.Upstream)
		}
	case path.Lost && len(others) > 0 && !m.Fleet.IsCutOff(path.Upstream):
		m.Fleet.CutOff(path.Upstream, path.Since)
		m.Log.Info("backend servers out of reach", "upstream", path.Upstream, "broken_ms", now.Sub(path.Since).Milliseconds(), "entries_that_reach_them", len(others))
	}
}

// ask sends a server a health check on a new connection. Any response will do, and a
// connection if the server must get no request.
func (m *Monitor) ask(ctx context.Context, endpoint place.Endpoint) place.Probed {
	connection, err := m.Client.Dial(ctx, endpoint.ID, endpoint.Address)
	if err != nil {
		return place.NotConnected
	}
	path := m.HealthPath(endpoint.Upstream)
	if path == "" || endpoint.ConnectOnly {
		time.Sleep(connectionTime)
		if connection.Release() {
			return place.Answered
		}
		return place.NotConnected
	}
	sentAt := time.Now()
	response, err := connection.Do(ctx, &upstream.Request{Method: http.MethodGet, Target: path, Host: endpoint.Address})
	if err != nil {
		return place.NotAnswered
	}
	if m.Answered != nil {
		m.Answered(endpoint, sentAt, response)
	}
	if response.Discard() {
		response.Finish()
	} else {
		response.Abandon()
	}
	return place.Answered
}
