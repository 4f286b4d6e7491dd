package process

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/dig"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/caller"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/departure"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// Entry is a running entry instance.
type Entry struct {
	Server  *caller.Server
	Watcher *group.Watcher

	settings  *settings.Settings
	telemetry Environment
	callers   *listener
	parts     parts
	leaving   atomic.Bool
}

// defaultLag is how long an instance that ends still takes new connections
// when its settings name no lag.
const defaultLag = 5 * time.Second

// StartEntry starts to serve callers.
func StartEntry(s *settings.Settings, environment Environment) (*Entry, error) {
	container := dig.New()
	e := &Entry{settings: s, telemetry: environment}
	err := provideAll(container,
		func() *settings.Settings { return s },
		func() Environment { return environment },
		newPeerSecret,
		newPeerClient,
		newDepartures,
		e.startWatcher,
		newClaimer,
		newLedgerClient,
		newIncarnation,
		e.startOutbox,
		newBackendClient,
		newPool,
		newCallerServer,
	)
	if err != nil {
		return nil, errors.Newf("wire entry: %w", err)
	}
	err = container.Invoke(e.serve)
	if err != nil {
		e.parts.close()
		return nil, errors.Newf("start entry: %w", dig.RootCause(err))
	}
	return e, nil
}

func newDepartures(environment Environment) *departure.Departures {
	return &departure.Departures{Check: environment.Check}
}

// startPlatform polls the platform's list when the settings name a platform.
func (e *Entry) startPlatform(departures *departure.Departures) {
	if e.settings.Platform == nil {
		return
	}
	watcher := &departure.Watcher{
		Address:    e.settings.Platform.Address,
		HTTP:       transport.Client(e.telemetry.Network),
		Log:        e.telemetry.Telemetry.Log,
		Departures: departures,
	}
	watcher.Start()
	e.parts.add(watcher.Close)
}

func (e *Entry) startWatcher(s *settings.Settings, environment Environment, client *peer.Client, departures *departure.Departures, pool *backend.Pool) *group.Watcher {
	watcher := &group.Watcher{
		Directory: group.NewDirectory(s.NearestControls()...),
		Client:    client,
		Log:       environment.Telemetry.Log,
		Check:     environment.Check,
		Scope:     environment.Telemetry.Scope,
		OnInstall: func(_ uint64, document *config.Document) {
			departures.ReportConfiguration(document)
			pool.Update(document)
		},

		Instance:      s.InstanceID,
		Incarnation:   rand.Text(),
		FailureDomain: s.FailureDomain,
	}
	watcher.Start()
	e.parts.add(watcher.Close)
	return watcher
}

func newClaimer(s *settings.Settings, client *peer.Client) *group.Claimer {
	return &group.Claimer{Addresses: s.NearestControls(), Client: client}
}

func newLedgerClient(s *settings.Settings, client *peer.Client) *ledger.Client {
	return &ledger.Client{Addresses: s.NearestControls(), Peer: client}
}

// incarnation is an entry's id and start; later starts sort after earlier ones.
type incarnation string

func newIncarnation(s *settings.Settings) incarnation {
	return incarnation(fmt.Sprintf("%s/%016x-%s", s.InstanceID, time.Now().UnixNano(), rand.Text()))
}

func (e *Entry) startOutbox(environment Environment, own incarnation, ledgers *ledger.Client, claimer *group.Claimer) *caller.Outbox {
	outbox := &caller.Outbox{
		Entry:   string(own),
		Ledger:  ledgers,
		Claimer: claimer,
		Log:     environment.Telemetry.Log,
		Scope:   environment.Telemetry.Scope,
	}
	ledgers.ReleaseLater = outbox.QueueRelease
	outbox.Start()
	e.parts.add(outbox.Close)
	return outbox
}

func newBackendClient(environment Environment, departures *departure.Departures) *backend.Client {
	return &backend.Client{
		HTTP:       transport.Client(environment.Network),
		Check:      environment.Check,
		Departures: departures,
	}
}

func newPool(s *settings.Settings, environment Environment, departures *departure.Departures) *backend.Pool {
	return &backend.Pool{
		FailureDomain: s.FailureDomain,
		Instance:      s.InstanceID,
		Check:         environment.Check,
		Departures:    departures,
	}
}

// startPoller keeps the pool's view of the backend servers' load.
func (e *Entry) startPoller(server *caller.Server, watcher *group.Watcher) {
	poller := &backend.Poller{
		Pool:     server.Pool,
		Client:   server.Backend,
		Document: func() *config.Document { return watcher.Active().Document },
	}
	poller.Start()
	e.parts.add(poller.Close)
}

func newCallerServer(s *settings.Settings, environment Environment, own incarnation, outbox *caller.Outbox, watcher *group.Watcher, claimer *group.Claimer, ledgers *ledger.Client, client *backend.Client, pool *backend.Pool) *caller.Server {
	return &caller.Server{
		Instance:      string(own),
		Outbox:        outbox,
		FailureDomain: s.FailureDomain,
		Watcher:       watcher,
		Claimer:       claimer,
		Ledger:        ledgers,
		Backend:       client,
		Pool:          pool,
		Log:           environment.Telemetry.Log,
		Scope:         environment.Telemetry.Scope,
		Tracer:        environment.Telemetry.Tracer,
		Check:         environment.Check,
	}
}

func (e *Entry) serve(server *caller.Server, watcher *group.Watcher, departures *departure.Departures) error {
	e.Server = server
	e.Watcher = watcher
	e.startPoller(server, watcher)
	e.startPlatform(departures)
	callers, err := listen(e.telemetry.Network, e.settings.CallerAddress, server.Handler())
	if err != nil {
		return err
	}
	e.callers = callers
	e.parts.add(callers.close)
	if e.settings.StatusAddress != "" {
		ready := func() bool { return watcher.Active().Document != nil && !e.leaving.Load() }
		status, err := listen(e.telemetry.Network, e.settings.StatusAddress, statusHandler(e.telemetry.Telemetry, ready))
		if err != nil {
			return err
		}
		e.parts.add(status.close)
	}
	e.telemetry.Telemetry.Log.Info("entry instance serves", "caller_address", callers.address())
	return nil
}

// Address returns the callers' address.
func (e *Entry) Address() string {
	return e.callers.address()
}

// Shutdown ends readiness, serves on while the balancer lags, then waits for
// the requests in progress until ctx ends.
func (e *Entry) Shutdown(ctx context.Context) {
	e.leaving.Store(true)
	e.Server.Drain()
	e.Watcher.Leave()
	e.callers.shutdown(ctx, e.settings.Shutdown.Lag.Or(defaultLag))
	e.parts.close()
}

// Close ends the instance at once.
func (e *Entry) Close() {
	e.parts.close()
}
