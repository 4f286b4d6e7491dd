package process

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/gossip"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/retry"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	defaultRetryWindow = 10 * time.Second
	// closeMargin is left of the shutdown's limit for the end of the process.
	closeMargin = 400 * time.Millisecond
	// returnWithin bounds the return of tokens after the last request.
	returnWithin = closeMargin / 2
	// acceptFor is how long new connections are served after readiness ended.
	acceptFor = 3200 * time.Millisecond
)

// Gateway is an entry instance of a seeded site.
type Gateway struct {
	Server  *forward.Server
	Watcher *group.Watcher

	settings  *settings.Settings
	directory *group.Directory
	callers   *listener
	parts     parts
	leaving   atomic.Bool
}

// StartGateway starts to serve callers.
func StartGateway(s *settings.Settings, environment Environment, dialect Dialect) (*Gateway, error) {
	g := &Gateway{settings: s, directory: group.NewDirectory(s.Seeded.PeerAddresses()...)}
	err := g.start(environment, dialect)
	if err != nil {
		g.parts.close()
		return nil, errors.Newf("start entry: %w", err)
	}
	return g, nil
}

func (g *Gateway) start(environment Environment, dialect Dialect) error {
	s := g.settings
	client := &peer.Client{HTTP: transport.Client(environment.Network)}
	incarnation := rand.Text()
	g.Server = &forward.Server{
		Translator:    dialect.Translator(),
		Upstream:      &upstream.Client{Network: environment.Network},
		Fleet:         &place.Fleet{},
		Retries:       &retry.Budget{Limits: limits(s.Seeded.Retries)},
		FailureDomain: s.FailureDomain,
		Log:           environment.Telemetry.Log,
		Scope:         environment.Telemetry.Scope,
		Tracer:        environment.Telemetry.Tracer,
	}
	g.Server.Fleet.Changed = g.logServer
	spreader, err := g.newSpreader(environment)
	if err != nil {
		return err
	}
	g.startHolder(environment, client, incarnation, spreader)
	g.Server.Fleet.PromptSent = spreader.AnnouncePrompt
	err = g.startWatcher(environment, dialect, client, incarnation, spreader)
	if err != nil {
		return err
	}
	g.Server.Entries = g.Watcher.Entries
	return g.serve(environment, dialect)
}

func limits(r settings.Retries) retry.Limits {
	return retry.Limits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Or(defaultRetryWindow)}
}

func (g *Gateway) startHolder(environment Environment, client *peer.Client, incarnation string, spreader *gossip.Gossiper) {
	g.Server.Holder = &escrow.Holder{
		Exchanger:     &group.Exchanger{Directory: g.directory, Client: client},
		Log:           environment.Telemetry.Log,
		Epoch:         g.settings.InstanceID + "/" + incarnation,
		Instance:      g.settings.InstanceID,
		FailureDomain: g.settings.FailureDomain,
		Address:       spreader.Address,
		Borrow:        spreader.Borrow,
		RandomPeers:   spreader.RandomPeers,
	}
	spreader.Tokens = g.Server.Holder
	g.Server.Holder.Start()
	g.parts.add(g.Server.Holder.Close)
}

// newSpreader returns what speaks to the other entries.
func (g *Gateway) newSpreader(environment Environment) (*gossip.Gossiper, error) {
	host, _, err := net.SplitHostPort(g.settings.CallerAddress)
	if err != nil {
		return nil, errors.Newf("caller address: %w", err)
	}
	return &gossip.Gossiper{
		Address: net.JoinHostPort(host, strconv.Itoa(g.settings.Seeded.PeerPort)),
		Fleet:   g.Server.Fleet,
		Log:     environment.Telemetry.Log,
	}, nil
}

// startWatcher follows the configuration and the list of backend servers. The
// spreader is started once all that it calls is in place.
func (g *Gateway) startWatcher(environment Environment, dialect Dialect, client *peer.Client, incarnation string, spreader *gossip.Gossiper) error {
	view := &instances.View{
		Lister:   dialect.Lister(transport.Client(environment.Network), g.settings.Seeded.InstanceList),
		Log:      environment.Telemetry.Log,
		Changed:  g.takeInstances,
		Announce: spreader.AnnounceList,
	}
	g.Server.ListAge = view.Age
	spreader.ListAnnounced = view.ConfirmChecksum
	g.Watcher = &group.Watcher{
		Directory:       g.directory,
		Client:          client,
		Log:             environment.Telemetry.Log,
		Check:           environment.Check,
		Scope:           environment.Telemetry.Scope,
		View:            view,
		DatagramAddress: spreader.Address,
		Peers:           spreader.SetPeers,
		Instance:        g.settings.InstanceID,
		Incarnation:     incarnation,
		FailureDomain:   g.settings.FailureDomain,
		OnInstall:       g.Server.Install,
	}
	view.Entries = g.Watcher.Entries
	err := spreader.Start()
	if err != nil {
		return err
	}
	g.parts.add(spreader.Close)
	view.Start()
	g.parts.add(view.Close)
	g.Watcher.Start()
	g.parts.add(g.Watcher.Close)
	return nil
}

func (g *Gateway) takeInstances(list []instances.Instance) {
	g.Server.Fleet.Update(list)
	g.Server.Upstream.CloseIdleExcept(g.Server.Fleet.Has)
}

// logServer logs what the entry believes of a backend server.
func (g *Gateway) logServer(change place.Change) {
	g.Server.Log.Info("backend server "+change.Event, "server", change.Server, "upstream", change.Upstream, "address", change.Address, "failure_rate", change.FailureRate, "for_ms", change.EjectedFor.Milliseconds())
}

func (g *Gateway) serve(environment Environment, dialect Dialect) error {
	callers, err := listen(environment.Network, g.settings.CallerAddress, g.Server)
	if err != nil {
		return err
	}
	g.callers = callers
	g.parts.add(callers.close)
	mux := http.NewServeMux()
	mux.Handle("/", statusHandler(environment.Telemetry, g.isReady))
	mux.HandleFunc(dialect.ReadyPath(), g.serveReady)
	status, err := listen(environment.Network, g.settings.StatusAddress, mux)
	if err != nil {
		return err
	}
	g.parts.add(status.close)
	if g.settings.MetricsAddress != "" {
		metrics, err := listen(environment.Network, g.settings.MetricsAddress, statusHandler(environment.Telemetry, g.isReady))
		if err != nil {
			return err
		}
		g.parts.add(metrics.close)
	}
	environment.Telemetry.Log.Info("entry instance serves", "caller_address", callers.address())
	return nil
}

func (g *Gateway) isReady() bool {
	return g.Server.Table() != nil && !g.leaving.Load()
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// SetSeeds takes the seeds of changed settings.
func (g *Gateway) SetSeeds(seeds []string) {
	g.directory.SetSeeds(seeds)
}

// Shutdown ends readiness, serves on while new connections still arrive, then
// waits for the requests in progress until ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) {
	drain := forward.Drain{AcceptUntil: time.Now().Add(acceptFor)}
	if deadline, limited := ctx.Deadline(); limited {
		drain.End = deadline.Add(-closeMargin)
		earlier, cancel := context.WithDeadline(ctx, drain.End)
		defer cancel()
		ctx = earlier
	}
	g.leaving.Store(true)
	g.Server.Drain(drain)
	g.Watcher.Leave()
	g.Server.Holder.Leave()
	g.callers.shutdown(ctx, acceptFor)
	returning, cancel := context.WithTimeout(context.Background(), returnWithin)
	defer cancel()
	g.Server.Holder.ReturnAll(returning)
	g.parts.close()
}

// Close ends the instance at once.
func (g *Gateway) Close() {
	g.parts.close()
}
