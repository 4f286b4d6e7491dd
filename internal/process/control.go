package process

import (
	"context"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/dig"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/observe"
	"github.com/cactusbay/cactusbay/internal/operator"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/quorum"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/sleep"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// initialPatchID is the id of the patch that creates configuration version 1.
	initialPatchID        = "initial"
	initialRetryDelay     = 200 * time.Millisecond
	initialProposeTimeout = time.Second
)

// Environment holds the external dependencies of a process; tests replace them
// with fakes.
type Environment struct {
	Network transport.Network
	// Folder holds durable state; it is used by control instances only.
	Folder    disk.Folder
	Telemetry *observe.Telemetry
	// Check reports violated invariants.
	Check *invariant.Checker
}

// Control is a running control instance of a site whose settings list the
// control group.
type Control struct {
	Group    *group.Group
	Quorum   *quorum.Node
	Ledger   *ledger.Ledger
	settings *settings.Settings
	log      group.Log

	closers   closers
	listeners []*listener
	// groups hold the connections of the listeners.
	groups       []*connectionGroup
	shuttingDown atomic.Bool

	stop context.CancelFunc
	done chan struct{}
}

// StartControl opens the durable state of a control instance and starts its
// listeners. The caller ends it with Shutdown or Close.
func StartControl(s *settings.Settings, environment Environment) (*Control, error) {
	container := dig.New()
	c := &Control{settings: s, done: make(chan struct{})}
	err := provideAll(container,
		func() *settings.Settings { return s },
		func() Environment { return environment },
		func() *invariant.Checker { return environment.Check },
		newPeerSecret,
		newPeerClient,
		group.New,
		c.openQuorum,
		func(node *quorum.Node) group.Log { return node },
		c.openLedger,
		newOperatorServer,
	)
	if err != nil {
		return nil, errors.Newf("assemble control instance: %w", err)
	}
	err = container.Invoke(c.serve)
	if err != nil {
		c.closers.close()
		return nil, errors.Newf("start control instance: %w", dig.RootCause(err))
	}
	return c, nil
}

func provideAll(container *dig.Container, constructors ...any) error {
	for _, constructor := range constructors {
		err := container.Provide(constructor)
		if err != nil {
			return errors.Newf("provide component: %w", err)
		}
	}
	return nil
}

func newPeerSecret(s *settings.Settings) (peer.Secret, error) {
	value, err := s.PeerSecret.Read()
	if err != nil {
		return "", errors.Newf("read peer secret: %w", err)
	}
	return peer.Secret(value), nil
}

func newPeerClient(environment Environment, secret peer.Secret) *peer.Client {
	return &peer.Client{HTTP: transport.Client(environment.Network), Secret: secret}
}

func (c *Control) openQuorum(s *settings.Settings, environment Environment, machine *group.Group, client *peer.Client) (*quorum.Node, error) {
	members := make([]quorum.Member, 0, len(s.Controls))
	for _, control := range s.Controls {
		members = append(members, quorum.Member{ID: control.InstanceID, Address: control.PeerAddress})
	}
	node, err := quorum.Open(quorum.Options{
		ID:           s.InstanceID,
		Members:      members,
		Folder:       environment.Folder,
		StateMachine: machine,
		Client:       client,
		Check:        environment.Check,
	})
	if err != nil {
		return nil, err
	}
	c.closers.add(node.Close)
	return node, nil
}

func (c *Control) openLedger(s *settings.Settings, environment Environment, machine *group.Group, log group.Log, client *peer.Client) (*ledger.Ledger, error) {
	var peers []ledger.Peer
	for _, control := range s.Controls {
		if control.InstanceID != s.InstanceID {
			peers = append(peers, ledger.Peer{Instance: control.InstanceID, Address: control.PeerAddress})
		}
	}
	backends := &backend.Client{Upstream: upstream.Client{Network: environment.Network}}
	c.closers.add(backends.Close)
	opened, err := ledger.Open(ledger.Options{
		Instance:       s.InstanceID,
		FailureDomain:  s.FailureDomain,
		Folder:         environment.Folder,
		Group:          log,
		Peers:          peers,
		Client:         client,
		AttemptQuerier: &attemptClient{group: machine, backend: backends},
		Scope:          environment.Telemetry.Scope,
		Log:            environment.Telemetry.Log,
		Check:          environment.Check,
	})
	if err != nil {
		return nil, err
	}
	c.closers.add(opened.Close)
	return opened, nil
}

func newOperatorServer(s *settings.Settings, environment Environment, g *group.Group, log group.Log, node *quorum.Node, l *ledger.Ledger) (*operator.Server, error) {
	server := &operator.Server{
		Instance: s.InstanceID,
		Group:    g,
		Log:      log,
		Quorum:   node,
		Ledger:   l,
		Logger:   environment.Telemetry.Log,
	}
	for _, key := range s.Operators {
		value, err := key.Key.Read()
		if err != nil {
			return nil, errors.Newf("read key of operator %s: %w", key.Name, err)
		}
		server.Keys = append(server.Keys, operator.Key{Name: key.Name, Hash: config.HashKey(value)})
	}
	return server, nil
}

// serve opens the listeners and starts proposing the initial configuration and
// deposits.
func (c *Control) serve(environment Environment, secret peer.Secret, g *group.Group, log group.Log, node *quorum.Node, l *ledger.Ledger, operators *operator.Server) error {
	c.Group = g
	c.Quorum = node
	c.Ledger = l
	c.log = log
	mux := http.NewServeMux()
	node.Handle(mux, secret)
	g.Handle(mux, secret, log)
	l.Handle(mux, secret)
	err := c.listen(environment, c.settings.PeerListenAddress(), mux, peerOptions(environment.Telemetry.Log, c.settings.PeerListenAddress(), 0))
	if err != nil {
		return err
	}
	err = c.listen(environment, c.settings.OperatorAddress, operators.Handler(), operatorOptions(environment.Telemetry.Log, c.settings.OperatorAddress, 0))
	if err != nil {
		return err
	}
	if c.settings.StatusAddress != "" {
		err = c.listen(environment, c.settings.StatusAddress, statusHandler(environment.Telemetry, func() bool { return !c.shuttingDown.Load() }), statusOptions(environment.Telemetry.Log, c.settings.StatusAddress))
		if err != nil {
			return err
		}
	}
	meter := startMeter(environment.Telemetry.Scope, c.measure)
	c.closers.add(meter.close)
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	go c.run(ctx, environment)
	environment.Telemetry.Log.Info("control instance started", "peer_address", c.settings.PeerAddress, "operator_address", c.settings.OperatorAddress)
	return nil
}

// measure updates the gauges of the instance.
func (c *Control) measure(m *meter) {
	m.setQuorum(c.Quorum.Status())
	m.setGroup(c.Group)
	m.setConnections(c.groups...)
}

func (c *Control) listen(environment Environment, address string, handler http.Handler, options listenOptions) error {
	l, err := listen(environment.Network, address, handler, options)
	if err != nil {
		return err
	}
	c.listeners = append(c.listeners, l)
	c.groups = append(c.groups, options.group)
	c.closers.add(l.close)
	return nil
}

// run proposes the initial configuration and then the deposits, each until it is
// committed.
func (c *Control) run(ctx context.Context, environment Environment) {
	defer close(c.done)
	commands, err := c.initialCommands()
	if err != nil {
		environment.Telemetry.Log.Error("cannot read the initial configuration", "err", err.Error())
		return
	}
	for _, command := range commands {
		c.proposeUntilCommitted(ctx, environment, command)
	}
}

// initialCommands returns the commands that create configuration version 1 and make
// the initial deposits.
func (c *Control) initialCommands() ([]group.Command, error) {
	var commands []group.Command
	if c.settings.Configuration != "" {
		patch, err := os.ReadFile(c.settings.Configuration)
		if err != nil {
			return nil, errors.Newf("read initial configuration: %w", err)
		}
		commands = append(commands, group.PatchConfiguration{ID: initialPatchID, Patch: patch})
	}
	for _, deposit := range c.settings.Deposits {
		commands = append(commands, group.Deposit{ID: deposit.ID, Workspace: deposit.Workspace, Tokens: deposit.Tokens})
	}
	return commands, nil
}

// proposeUntilCommitted proposes command repeatedly until it is committed or ctx
// ends. It logs a command that the group rejects.
func (c *Control) proposeUntilCommitted(ctx context.Context, environment Environment, command group.Command) {
	for ctx.Err() == nil {
		result, err := c.propose(ctx, command)
		if err == nil {
			if result.Code == group.CodeInvalid {
				environment.Telemetry.Log.Error("initial configuration or deposit rejected", "detail", result.Detail)
			}
			return
		}
		environment.Telemetry.Log.Debug("initial proposal not committed; retrying", "err", err.Error())
		sleep.For(ctx, initialRetryDelay)
	}
}

func (c *Control) propose(ctx context.Context, command group.Command) (group.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, initialProposeTimeout)
	defer cancel()
	return group.Propose(ctx, c.log, command)
}

// Failure returns why the member or the ledger has stopped, or "".
func (c *Control) Failure() string {
	failure := c.Quorum.Status().Failure
	if failure != "" {
		return failure
	}
	err := c.Ledger.Failure()
	if err != nil {
		return err.Error()
	}
	return ""
}

// awaitFailure returns why the instance has failed, or "" once ctx has ended.
func (c *Control) awaitFailure(ctx context.Context) string {
	for ctx.Err() == nil {
		failure := c.Failure()
		if failure != "" {
			return failure
		}
		sleep.For(ctx, failurePollInterval)
	}
	return ""
}

// Shutdown reports not ready and makes entries switch to other control
// instances. It keeps serving for the shutdown lag, because the load balancer
// notices with a delay, then waits for the calls in progress until ctx ends,
// transfers the leadership and releases all resources.
func (c *Control) Shutdown(ctx context.Context) {
	c.shuttingDown.Store(true)
	c.Group.Drain()
	var shutdowns sync.WaitGroup
	for _, l := range c.listeners {
		shutdowns.Go(func() { l.shutdown(ctx, c.settings.Shutdown.Lag.Or(defaultShutdownLag)) })
	}
	shutdowns.Wait()
	c.Close()
}

// Close stops the instance without waiting for calls in progress; a leader
// transfers the leadership first.
func (c *Control) Close() {
	c.stop()
	<-c.done
	c.Quorum.TransferLeadership()
	c.closers.close()
}
