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
	"github.com/cactusbay/cactusbay/internal/drain"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// Entry is a running entry instance of a site whose settings list the control
// group.
type Entry struct {
	Server  *caller.Server
	Watcher *group.Watcher

	settings     *settings.Settings
	env          Environment
	callers      *listener
	connections  *connectionGroup
	closers      closers
	shuttingDown atomic.Bool
}

// defaultShutdownLag is how long an instance that is shutting down still accepts
// new connections if its settings set no lag.
const defaultShutdownLag = 5 * time.Second

// StartEntry starts an entry instance and its listeners. The caller ends it with
// Shutdown or Close.
func StartEntry(s *settings.Settings, environment Environment) (*Entry, error) {
	container := dig.New()
	e := &Entry{settings: s, env: environment}
	err := provideAll(container,
		func() *settings.Settings { return s },
		func() Environment { return environment },
		newPeerSecret,
		newPeerClient,
		newDepartures,
		e.startWatcher,
		newClaimer,
		newLedgerClient,
		newEpoch,
		e.startOutbox,
		e.newBackendClient,
		newPool,
		newCallerServer,
	)
	if err != nil {
		return nil, errors.Newf("assemble entry instance: %w", err)
	}
	err = container.Invoke(e.serve)
	if err != nil {
		e.closers.close()
		return nil, errors.Newf("start entry instance: %w", dig.RootCause(err))
	}
	return e, nil
}

func newDepartures() *instances.Departures {
	return &instances.Departures{}
}

// startListPoller starts polling the platform's list of instances if the settings
// name a platform.
func (e *Entry) startListPoller(departures *instances.Departures) {
	if e.settings.Platform == nil {
		return
	}
	poller := &instances.Poller{
		Lister: &instances.Client{HTTP: transport.Client(e.env.Network), Address: e.settings.Platform.Address},
		Log:    e.env.Telemetry.Log,
		Read:   func(list []instances.Instance) { reportListed(departures, list) },
	}
	poller.Start()
	e.closers.add(poller.Close)
}

// reportListed reports a list of instances, which are known by their address.
func reportListed(departures *instances.Departures, list []instances.Instance) {
	now := time.Now()
	for _, instance := range list {
		departures.ReportListed(instance.Address, instance.Leaving, now)
	}
	departures.Prune(now)
}

func (e *Entry) startWatcher(s *settings.Settings, environment Environment, client *peer.Client, backends *backend.Client, pool *backend.Pool) *group.Watcher {
	watcher := &group.Watcher{
		Directory:     group.NewDirectory(s.NearestControls()...),
		Client:        client,
		Log:           environment.Telemetry.Log,
		Check:         environment.Check,
		Scope:         environment.Telemetry.Scope,
		Instance:      s.InstanceID,
		Epoch:         rand.Text(),
		FailureDomain: s.FailureDomain,
	}
	watcher.OnInstall = func(version uint64, document *config.Document) {
		logEvacuations(environment.Telemetry.Log, watcher.Active().Document, document, version)
		pool.Update(document)
		backends.Retain(document)
	}
	watcher.Start()
	e.closers.add(watcher.Close)
	return watcher
}

func newClaimer(s *settings.Settings, client *peer.Client) *group.Claimer {
	return &group.Claimer{Addresses: s.NearestControls(), Client: client}
}

func newLedgerClient(s *settings.Settings, client *peer.Client) *ledger.Client {
	return &ledger.Client{Addresses: s.NearestControls(), Peer: client}
}

// epoch identifies one run of an entry by its instance id, start time and a random
// suffix. Later epochs of an instance sort after earlier ones.
type epoch string

func newEpoch(s *settings.Settings) epoch {
	return epoch(fmt.Sprintf("%s/%016x-%s", s.InstanceID, time.Now().UnixNano(), rand.Text()))
}

func (e *Entry) startOutbox(environment Environment, id epoch, ledgers *ledger.Client, claimer *group.Claimer) *caller.Outbox {
	outbox := &caller.Outbox{
		Entry:   string(id),
		Ledger:  ledgers,
		Claimer: claimer,
		Log:     environment.Telemetry.Log,
		Scope:   environment.Telemetry.Scope,
	}
	ledgers.ReleaseLater = outbox.QueueRelease
	outbox.Start()
	e.closers.add(outbox.Close)
	return outbox
}

func (e *Entry) newBackendClient(environment Environment, departures *instances.Departures) *backend.Client {
	client := &backend.Client{Upstream: upstream.Client{Network: environment.Network}, Departures: departures, Check: environment.Check}
	e.closers.add(client.Close)
	return client
}

func newPool(s *settings.Settings, environment Environment, departures *instances.Departures) *backend.Pool {
	return &backend.Pool{
		FailureDomain: s.FailureDomain,
		Instance:      s.InstanceID,
		Check:         environment.Check,
		Departures:    departures,
	}
}

// startLoadPoller starts polling the load of the backend servers into the pool.
func (e *Entry) startLoadPoller(server *caller.Server, watcher *group.Watcher) {
	poller := &backend.Poller{
		Pool:     server.Pool,
		Client:   server.Backend,
		Document: func() *config.Document { return watcher.Active().Document },
	}
	poller.Start()
	e.closers.add(poller.Close)
}

func newCallerServer(s *settings.Settings, environment Environment, id epoch, outbox *caller.Outbox, watcher *group.Watcher, claimer *group.Claimer, ledgers *ledger.Client, client *backend.Client, pool *backend.Pool) *caller.Server {
	return &caller.Server{
		Instance:      string(id),
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
		Memory:        &memory.Account{Bounds: memory.BoundsOf(listedMemoryMB(s))},
	}
}

// listedMemoryMB returns the memory of an entry in MiB, or defaultMemoryMB if the settings don't
// state it.
func listedMemoryMB(s *settings.Settings) int {
	if s.MemoryMB > 0 {
		return s.MemoryMB
	}
	return defaultMemoryMB
}

// serve starts the load poller, the poller of the list of instances and the listeners for callers
// and for status.
func (e *Entry) serve(server *caller.Server, watcher *group.Watcher, departures *instances.Departures) error {
	e.Server = server
	e.Watcher = watcher
	e.startLoadPoller(server, watcher)
	e.startListPoller(departures)
	connections := newConnectionGroup(maxConnections(e.settings.MaxConnections, descriptorLimit(), e.settings.MemoryMB), e.env.Telemetry.Log, e.settings.CallerAddress)
	connections.maxHeldBytes = maxHeadBytes(listedMemoryMB(e.settings))
	e.connections = connections
	callers, err := listen(e.env.Network, e.settings.CallerAddress, server.Handler(), listenOptions{group: connections, limits: e.requestLimits})
	if err != nil {
		return err
	}
	e.callers = callers
	e.closers.add(callers.close)
	if e.settings.StatusAddress != "" {
		ready := func() bool { return watcher.Active().Document != nil && !e.shuttingDown.Load() }
		status, err := listen(e.env.Network, e.settings.StatusAddress, statusHandler(e.env.Telemetry, ready), statusOptions(e.env.Telemetry.Log, e.settings.StatusAddress))
		if err != nil {
			return err
		}
		e.closers.add(status.close)
	}
	meter := startMeter(e.env.Telemetry.Scope, e.measure)
	e.closers.add(meter.close)
	e.env.Telemetry.Log.Info("entry instance started", "caller_address", callers.address())
	return nil
}

// requestLimits returns the limits of the configuration in force.
func (e *Entry) requestLimits() requestLimits {
	document := e.Watcher.Active().Document
	if document == nil {
		return requestLimits{}
	}
	return limitsOf(document.Limits)
}

// measure updates the gauges of the instance.
func (e *Entry) measure(m *meter) {
	m.set("requests_in_progress", float64(e.Server.Running()))
	m.setMemory(e.Server.Memory)
	m.setConnections(e.connections)
	m.setPool(e.Server.Pool.Counts())
	m.setWatcher(e.Watcher)
	m.countTo("backend_connections", e.Server.Backend.Upstream.Dials())
}

// Address returns the address that the listener for callers is bound to.
func (e *Entry) Address() string {
	return e.callers.address()
}

// leave reports not ready and tells the control group that the instance is leaving.
func (e *Entry) leave(plan drain.Plan) {
	e.shuttingDown.Store(true)
	e.Server.Drain(plan)
	e.Watcher.Leave()
}

// Shutdown reports not ready and keeps serving for the shutdown lag, because the
// load balancer notices with a delay. Then it waits for the requests in progress
// until shortly before the deadline of ctx and releases all resources.
func (e *Entry) Shutdown(ctx context.Context) {
	lag := e.settings.Shutdown.Lag.Or(defaultShutdownLag)
	drainCallers(ctx, lag, e.leave, e.callers)
	e.closers.close()
}

// Close stops the instance without waiting for requests in progress.
func (e *Entry) Close() {
	e.closers.close()
}
