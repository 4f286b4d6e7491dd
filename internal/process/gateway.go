package process

import (
	"context"
	"crypto/rand"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/drain"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/gossip"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/quarantine"
	"github.com/cactusbay/cactusbay/internal/reach"
	"github.com/cactusbay/cactusbay/internal/retry"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// defaultRetryWindow is the window of the retry budget if the settings set
	// none.
	defaultRetryWindow = 10 * time.Second
	// returnTimeout bounds the return of tokens to the control group after the
	// last request.
	returnTimeout = exitMargin / 2
	// acceptDuration is how long new connections are accepted after the instance
	// reported not ready.
	acceptDuration = 3200 * time.Millisecond
)

// Gateway is a running entry instance of a seeded site, whose instances find
// each other through seeds.
type Gateway struct {
	Server  *forward.Server
	Watcher *group.Watcher

	settings  *settings.Settings
	directory *group.Directory
	callers   *listener
	// relays accepts the requests that other entries pass on.
	relays *listener
	// connections holds the open connections of both.
	connections *connectionGroup
	// descriptorLimit is the number of descriptors that bounds connections; 0 bounds none.
	descriptorLimit overload.DescriptorLimit
	// diverter decides when the entry reports not ready because it is overloaded. It is nil if
	// the settings do not ask for that.
	diverter *overload.Diverter
	// link counts the traffic from which diverter and accepts decide.
	link linkCounter
	// bounded is set if the contracts ask the entry to bound load.
	bounded bool
	// mayDivert is set while the entry may divert; see isDivertingAsked.
	mayDivert atomic.Bool
	// accepts closes the socket for callers while requests fill the link. It is nil if the
	// settings do not ask for that.
	accepts      *acceptLoop
	closers      closers
	shuttingDown atomic.Bool
}

// StartGateway starts an entry instance of a seeded site and its listeners. The
// caller ends it with Shutdown or Close.
func StartGateway(s *settings.Settings, environment Environment, dialect Dialect) (*Gateway, error) {
	g := &Gateway{settings: s, directory: group.NewDirectory(s.Seeded.PeerAddresses()...)}
	err := g.start(environment, dialect)
	if err != nil {
		g.closers.close()
		return nil, errors.Newf("start entry instance: %w", err)
	}
	return g, nil
}

func (g *Gateway) start(environment Environment, dialect Dialect) error {
	s := g.settings
	client := &peer.Client{HTTP: transport.Client(environment.Network)}
	epochID := rand.Text()
	g.Server = &forward.Server{
		Translator:    dialect.Translator(),
		Upstream:      &upstream.Client{},
		Fleet:         &place.Fleet{Regions: s.Seeded.FailureDomains, Adaptive: isAdaptive(s.Seeded, dialect), Seed: placementSeed(epochID)},
		Retries:       &retry.Budget{Limits: retryLimits(s.Seeded.Retries)},
		FailureDomain: s.FailureDomain,
		Region:        regionOf(s),
		Log:           environment.Telemetry.Log,
		Scope:         environment.Telemetry.Scope,
		Tracer:        environment.Telemetry.Tracer,
	}
	g.boundResources(s, environment.Telemetry.Log)
	if s.Seeded.Overload != nil {
		g.limitLoad(s.Seeded.Overload, dialect.BoundsLoad(s.Seeded.Contracts))
	}
	g.Server.Upstream.Network = g.requestNetwork(backendNetwork(s.Seeded, environment.Network))
	g.Server.Fleet.Changed = g.logServerChange
	g.Server.Fleet.AdaptiveChanged = g.logAdaptiveChange
	g.Server.Fleet.ConnectTime = g.Server.Upstream.ConnectTime
	gossiper, err := g.newGossiper(environment)
	if err != nil {
		return err
	}
	g.startHolder(environment, client, epochID, gossiper)
	g.Server.Fleet.PromptSent = gossiper.AnnouncePrompt
	g.Server.Fleet.LimitStated = gossiper.AnnounceLimit
	g.Server.Fleet.LimitShare = gossiper.LimitShare
	g.Server.Fleet.IsLearning = gossiper.IsLearning
	g.Server.Fleet.ColdStated = gossiper.AnnounceCold
	g.Server.Fleet.Unreached = gossiper.AskForProbes
	g.shareEvidence(environment, client, gossiper)
	g.Server.Streams = gossiper
	g.Server.Peers = gossiper
	err = g.startWatcher(environment, dialect, client, epochID, gossiper)
	if err != nil {
		return err
	}
	g.Server.Entries = g.Watcher.Entries
	g.monitorReach(environment, gossiper)
	err = g.serve(environment, dialect, gossiper.Address)
	if err != nil {
		return err
	}
	meter := startMeter(environment.Telemetry.Scope, func(m *meter) { g.measure(m, gossiper) })
	g.closers.add(meter.close)
	g.startOverload(environment)
	return nil
}

// isAdaptive reports whether all backend servers are chosen by estimates of their load.
func isAdaptive(s *settings.Seeded, dialect Dialect) bool {
	return s.Placement.Adaptive || dialect.EstimatesLoad(s.Contracts)
}

// placementSeed returns the seed of the random choices among backend servers, which differ
// from those of other entries.
func placementSeed(epochID string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(epochID))
	return hash.Sum64()
}

// backendNetwork returns the network for connections to backend servers: the given one,
// unless the settings name an address to open them from.
func backendNetwork(s *settings.Seeded, network transport.Network) transport.Network {
	if s.SourceAddress == "" {
		return network
	}
	return transport.TCP{Source: s.SourceAddress}
}

// regionOf returns the region of an instance: the one that its settings name, or that of its
// failure domain.
func regionOf(s *settings.Settings) string {
	if s.Region != "" {
		return s.Region
	}
	return s.Seeded.FailureDomains[s.FailureDomain]
}

// measure updates the gauges of the instance.
func (g *Gateway) measure(m *meter, gossiper *gossip.Gossiper) {
	m.set("requests_in_progress", float64(g.Server.Running()))
	requests := g.Server.Quarantine.CountRequests()
	m.set("segments_quarantined", float64(g.Server.Quarantine.Count()-requests))
	m.set("requests_quarantined", float64(requests))
	counts := g.Server.Fleet.Counts(time.Now())
	m.setFleet(counts)
	m.setHolder(g.Server.Holder.Totals())
	m.setWatcher(g.Watcher)
	m.setAge("list_age_seconds", g.Server.ListAge())
	m.countDatagrams(gossiper.Counts())
	m.countTo("backend_connections", g.Server.Upstream.Dials())
	m.setOverload(g.Server.Overload)
	m.setDiversion(g.diverter)
	m.setAccepts(g.accepts)
	m.setReady(g.Server.Table() != nil, g.shuttingDown.Load(), g.isDiverting(), g.isNotListening())
	m.setMemory(g.Server.Memory)
	m.setServerBytes(counts.ServerBytes, g.Server.Fleet.MaxServerBytes)
	m.setConnections(g.connections)
	_, idle := g.Server.Upstream.Open()
	m.set("backend_connections_idle", float64(idle))
	m.set("descriptors_in_use", float64(g.connectionsInUse()))
	m.set("descriptor_limit", float64(g.descriptorLimit))
}

func retryLimits(r settings.Retries) retry.Limits {
	return retry.Limits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Or(defaultRetryWindow)}
}

func (g *Gateway) startHolder(environment Environment, client *peer.Client, epochID string, gossiper *gossip.Gossiper) {
	g.Server.Holder = &escrow.Holder{
		Exchanger:     &group.Exchanger{Directory: g.directory, Client: client},
		Log:           environment.Telemetry.Log,
		Epoch:         g.settings.InstanceID + "/" + epochID,
		Instance:      g.settings.InstanceID,
		FailureDomain: g.settings.FailureDomain,
		Address:       gossiper.Address,
		Borrow:        gossiper.Borrow,
		RandomPeers:   gossiper.RandomPeers,
	}
	gossiper.Tokens = g.Server.Holder
	g.Server.Holder.Start()
	g.closers.add(g.Server.Holder.Close)
}

// shareEvidence lets the gossiper share the evidence against what crashes servers, and starts
// to keep the verdicts at the control group.
func (g *Gateway) shareEvidence(environment Environment, client *peer.Client, gossiper *gossip.Gossiper) {
	registry := &g.Server.Quarantine
	gossiper.Evidence = registry
	registry.Announce = gossiper.AnnounceEvidence
	keeper := &quarantine.Keeper{
		Registry: registry,
		Store:    &group.QuarantineStore{Directory: g.directory, Client: client},
		Log:      environment.Telemetry.Log,
	}
	registry.Changed = func(change quarantine.Change) {
		g.logQuarantine(change)
		keeper.Record(change)
	}
	keeper.Start()
	g.closers.add(keeper.Close)
}

// monitorReach starts to watch the paths to backend servers. It must be called before serve,
// because it sets a hook of the fleet that requests call.
func (g *Gateway) monitorReach(environment Environment, gossiper *gossip.Gossiper) {
	monitor := &reach.Monitor{
		Fleet:      g.Server.Fleet,
		Client:     g.Server.Upstream,
		Peers:      gossiper,
		HealthPath: g.Server.HealthPath,
		Answered:   g.Server.RecordProbe,
		Log:        environment.Telemetry.Log,
	}
	monitor.Start()
	g.closers.add(monitor.Close)
}

// logQuarantine logs the begin or the end of a quarantine.
func (g *Gateway) logQuarantine(change quarantine.Change) {
	switch key := change.Key.(type) {
	case quarantine.Segment:
		g.Server.Log.Info("prompt segment "+change.Event, "segment", strconv.FormatUint(uint64(key), 16), "crashes", change.Crashes)
	case quarantine.Request:
		g.Server.Log.Info("request "+change.Event, "request_digest", strconv.FormatUint(uint64(key), 16), "crashes", change.Crashes)
	}
}

// newGossiper returns the gossiper that exchanges datagrams with the other
// entries. Its address is the host of the caller address with the peer port.
func (g *Gateway) newGossiper(environment Environment) (*gossip.Gossiper, error) {
	host, _, err := net.SplitHostPort(g.settings.CallerAddress)
	if err != nil {
		return nil, errors.Newf("parse caller address: %w", err)
	}
	return &gossip.Gossiper{
		Address:  net.JoinHostPort(host, strconv.Itoa(g.settings.Seeded.PeerPort)),
		Fleet:    g.Server.Fleet,
		Overload: g.Server.Overload,
		Diverter: g.diverter,
		Measures: g.mayDivert.Load,
		Log:      environment.Telemetry.Log,
	}, nil
}

// startWatcher starts the gossiper, the view of the list of backend servers and
// the watcher of the configuration. It sets every function that the gossiper calls
// before it starts the gossiper.
func (g *Gateway) startWatcher(environment Environment, dialect Dialect, client *peer.Client, epochID string, gossiper *gossip.Gossiper) error {
	view := &instances.View{
		Lister:   dialect.Lister(transport.Client(environment.Network), g.settings.Seeded.InstanceList),
		Log:      environment.Telemetry.Log,
		Changed:  g.updateFleet,
		Announce: gossiper.AnnounceList,
	}
	g.Server.ListAge = view.Age
	g.Server.ListFollowedFor = view.FollowedFor
	g.Server.AwaitList = view.AwaitCurrent
	gossiper.ListAnnounced = view.ConfirmChecksum
	g.Watcher = &group.Watcher{
		Directory:       g.directory,
		Client:          client,
		Log:             environment.Telemetry.Log,
		Check:           environment.Check,
		Scope:           environment.Telemetry.Scope,
		View:            view,
		DatagramAddress: gossiper.Address,
		Peers:           gossiper.SetPeers,
		Instance:        g.settings.InstanceID,
		Epoch:           epochID,
		FailureDomain:   g.settings.FailureDomain,
		OnInstall:       g.Server.Install,
	}
	view.Entries = g.Watcher.Entries
	g.Server.AwaitConfiguration = g.Watcher.AwaitNewest
	gossiper.Entries = g.Watcher.Entries
	err := gossiper.Start()
	if err != nil {
		return err
	}
	g.closers.add(gossiper.Close)
	view.Start()
	g.closers.add(view.Close)
	g.Watcher.Start()
	g.closers.add(g.Watcher.Close)
	return nil
}

// updateFleet installs a new list of backend servers and closes the idle
// connections to servers that are no longer in it.
func (g *Gateway) updateFleet(list []instances.Instance) {
	g.Server.Fleet.Update(list, time.Now())
	g.Server.Upstream.CloseIdleExcept(g.Server.Fleet.Has)
}

// logServerChange logs a change in how the entry sees a backend server.
func (g *Gateway) logServerChange(change place.Change) {
	g.Server.Log.Info("backend server "+change.Event, "server", change.Server, "upstream", change.Upstream, "address", change.Address, "version", change.Version, "failure_rate", change.FailureRate, "limit", change.Limit, "cold", change.Cold, "for_ms", change.EjectedFor.Milliseconds())
}

// logAdaptiveChange logs that an upstream begins or ceases to be placed by estimates.
func (g *Gateway) logAdaptiveChange(upstream string, adaptive bool, servers int) {
	message := "adaptive placement ended"
	if adaptive {
		message = "adaptive placement begun"
	}
	g.Server.Log.Info(message, "upstream", upstream, "servers", servers, "by_setting", g.Server.Fleet.Adaptive)
}

// serve opens the listeners for callers, for other entries at peerAddress, for status and,
// if set, for metrics.
func (g *Gateway) serve(environment Environment, dialect Dialect, peerAddress string) error {
	err := g.listenForCallers(environment)
	if err != nil {
		return err
	}
	g.relays, err = listen(g.requestNetwork(environment.Network), peerAddress, http.HandlerFunc(g.Server.ServeRelayed), listenOptions{group: g.connections, limits: g.relayLimits})
	if err != nil {
		return err
	}
	g.closers.add(g.relays.close)
	mux := http.NewServeMux()
	mux.Handle("/", statusHandler(environment.Telemetry, g.isReady))
	mux.HandleFunc(dialect.ReadyPath(), g.serveReady)
	status, err := listen(environment.Network, g.settings.StatusAddress, mux, statusOptions(environment.Telemetry.Log, g.settings.StatusAddress))
	if err != nil {
		return err
	}
	g.closers.add(status.close)
	if g.settings.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("/", statusHandler(environment.Telemetry, g.isReady))
		mux.Handle("POST "+explainPath, &explainer{instance: g.settings.InstanceID, explain: g.Server.Explain})
		metrics, err := listen(environment.Network, g.settings.MetricsAddress, mux, statusOptions(environment.Telemetry.Log, g.settings.MetricsAddress))
		if err != nil {
			return err
		}
		g.closers.add(metrics.close)
	}
	environment.Telemetry.Log.Info("entry instance started", "caller_address", g.callers.address())
	return nil
}

// requestLimits returns the limits of the configuration in force.
func (g *Gateway) requestLimits() requestLimits {
	table := g.Server.Table()
	if table == nil {
		return requestLimits{}
	}
	return limitsOf(table.Limits)
}

// relayLimits returns the limits of requests that other entries pass on: they add headers, and
// have seen to it that the caller keeps to its limits.
func (g *Gateway) relayLimits() requestLimits {
	return requestLimits{HeaderBytes: max(defaultHeaderBytes, 2*g.requestLimits().HeaderBytes)}
}

func (g *Gateway) isReady() bool {
	return g.Server.Table() != nil && !g.shuttingDown.Load()
}

// serveReady answers the load balancer. Unlike the other status endpoints it also reports not
// ready while the entry diverts, or can't open its socket for callers.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() || g.isDiverting() || g.isNotListening() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// SetSeeds replaces the addresses of the seeds after a change of the settings.
func (g *Gateway) SetSeeds(seeds []string) {
	g.directory.SetSeeds(seeds)
}

// leave reports not ready and tells the control group that the instance is leaving.
func (g *Gateway) leave(plan drain.Plan) {
	g.shuttingDown.Store(true)
	if g.accepts != nil {
		g.accepts.close()
	}
	g.Server.Drain(plan)
	g.Watcher.Leave()
	g.Server.Holder.Leave()
}

// Shutdown reports not ready and keeps accepting new connections for a while,
// because the load balancer notices with a delay. Then it waits for the requests
// in progress until shortly before the deadline of ctx, returns the unused
// tokens to the control group and releases all resources.
func (g *Gateway) Shutdown(ctx context.Context) {
	drainCallers(ctx, acceptDuration, g.leave, g.callers, g.relays)
	returnCtx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	g.Server.Holder.ReturnAll(returnCtx)
	g.closers.close()
}

// Close stops the instance without waiting for requests in progress; the tokens
// that it holds are not returned.
func (g *Gateway) Close() {
	g.closers.close()
}
