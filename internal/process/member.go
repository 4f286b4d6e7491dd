package process

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/operator"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/quorum"
	"github.com/cactusbay/cactusbay/internal/roster"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// maxLeaderContactAge is the time without a message from the leader, a few
// heartbeat intervals, after which a control instance makes the entries that watch
// it switch to another one.
const maxLeaderContactAge = 800 * time.Millisecond

// Member is a running control instance of a seeded site, whose instances find
// each other through seeds.
type Member struct {
	Group  *group.Group
	Quorum *quorum.Node

	settings  *settings.Settings
	joiner    *roster.Joiner
	directory *group.Directory
	// groups hold the connections of the listeners.
	groups  []*connectionGroup
	closers closers
}

// StartMember opens the durable state of a control instance of a seeded site and
// starts its listeners. The caller ends it with Shutdown or Close.
func StartMember(s *settings.Settings, environment Environment, dialect Dialect) (*Member, error) {
	m := &Member{settings: s, Group: group.New(environment.Check), directory: group.NewDirectory(s.Seeded.PeerAddresses()...)}
	err := m.start(environment, dialect)
	if err != nil {
		m.closers.close()
		return nil, errors.Newf("start control instance: %w", err)
	}
	return m, nil
}

func (m *Member) start(environment Environment, dialect Dialect) error {
	s := m.settings
	client := &peer.Client{HTTP: transport.Client(environment.Network)}
	identity, err := roster.Identify(environment.Folder, roster.Options{
		Address:       s.PeerAddress,
		FailureDomain: s.FailureDomain,
		Seeds:         s.Seeded.PeerAddresses(),
		Founding:      s.Seeded.Founding,
	})
	if err != nil {
		return err
	}
	m.directory.SetMembers(identity.Contacts)
	environment.Telemetry.Log.Info("identity of the control instance", "member", identity.Member.ID, "founder", len(identity.Founders) > 0, "founding", s.Seeded.Founding)
	m.Quorum, err = quorum.Open(quorum.Options{
		ID:           identity.Member.ID,
		Members:      identity.Founders,
		Folder:       environment.Folder,
		StateMachine: m.Group,
		Client:       client,
		Check:        environment.Check,
		Voters:       s.Seeded.Tolerance.Voters(),
		Contacts:     m.directory.Addresses,
	})
	if err != nil {
		return err
	}
	m.closers.add(m.Quorum.Close)
	m.startJoiner(environment, identity, client)
	poller := m.startListPoller(environment, dialect, client)
	err = m.serve(environment, dialect)
	if err != nil {
		return err
	}
	meter := startMeter(environment.Telemetry.Scope, func(meter *meter) { m.measure(meter, poller) })
	m.closers.add(meter.close)
	return nil
}

// startJoiner starts the joiner, and sets the functions with which the group reads
// the contact to the leader and the members of the control group.
func (m *Member) startJoiner(environment Environment, identity roster.Identity, client *peer.Client) {
	m.joiner = &roster.Joiner{
		Node:      m.Quorum,
		Member:    identity.Member,
		Directory: m.directory,
		Client:    client,
		Log:       environment.Telemetry.Log,
	}
	m.joiner.Start()
	m.closers.add(m.joiner.Close)
	m.Group.Lagging = func() bool {
		status := m.Quorum.Status()
		return status.Role != "leader" && status.LeaderContactAge > maxLeaderContactAge.Seconds()
	}
	m.Group.Members = func() []string { return roster.Addresses(m.Quorum) }
}

// startListPoller starts polling the list of backend servers. group.Relay chooses
// whether it is read from the leader or from the platform.
func (m *Member) startListPoller(environment Environment, dialect Dialect, client *peer.Client) *instances.Poller {
	poller := &instances.Poller{
		Lister: &group.Relay{
			Client: client,
			Leader: m.remoteLeaderAddress,
			Source: dialect.Lister(transport.Client(environment.Network), m.settings.Seeded.InstanceList),
		},
		Log: environment.Telemetry.Log,
	}
	poller.Start()
	m.closers.add(poller.Close)
	m.Group.Listings = poller
	return poller
}

// measure updates the gauges of the instance.
func (m *Member) measure(meter *meter, poller *instances.Poller) {
	meter.setQuorum(m.Quorum.Status())
	meter.setGroup(m.Group)
	meter.setConnections(m.groups...)
	_, age, _ := poller.Current()
	meter.setAge("list_age_seconds", age)
}

// serve opens the listeners for peers, for operators and, if set, for metrics.
func (m *Member) serve(environment Environment, dialect Dialect) error {
	s := m.settings
	mux := http.NewServeMux()
	m.Quorum.Handle(mux, "")
	m.Group.Handle(mux, "", m.Quorum)
	roster.Handle(mux, "", m.Quorum)
	releases := &operator.Releases{
		Group:   m.Group,
		Node:    m.Quorum,
		Log:     environment.Telemetry.Log,
		Voters:  s.Seeded.Tolerance.Voters(),
		Started: time.Now(),
	}
	evacuations := &operator.Evacuations{
		Node:           m.Quorum,
		Log:            environment.Telemetry.Log,
		Voters:         releases.Voters,
		Started:        releases.Started,
		FailureDomains: s.Seeded.FailureDomains,
	}
	logger, memoryMB := environment.Telemetry.Log, s.Seeded.MemoryMB
	err := m.listen(environment, s.PeerListenAddress(), mux, peerOptions(logger, s.PeerListenAddress(), memoryMB))
	if err != nil {
		return err
	}
	err = m.listen(environment, s.OperatorAddress, dialect.Operators(releases, evacuations), operatorOptions(logger, s.OperatorAddress, memoryMB))
	if err != nil {
		return err
	}
	if s.MetricsAddress != "" {
		status := statusHandler(environment.Telemetry, func() bool { return m.Quorum.Status().Leader != "" })
		err = m.listen(environment, s.MetricsAddress, status, statusOptions(logger, s.MetricsAddress))
		if err != nil {
			return err
		}
	}
	environment.Telemetry.Log.Info("control instance started", "peer_address", s.PeerAddress, "operator_address", s.OperatorAddress, "founding", s.Seeded.Founding)
	return nil
}

// listen opens a listener, which is closed with the instance.
func (m *Member) listen(environment Environment, address string, handler http.Handler, options listenOptions) error {
	l, err := listen(environment.Network, address, handler, options)
	if err != nil {
		return err
	}
	m.closers.add(l.close)
	m.groups = append(m.groups, options.group)
	return nil
}

// remoteLeaderAddress returns the peer address of the leader, or "" if this
// instance is the leader or has received no message from one within
// maxLeaderContactAge.
func (m *Member) remoteLeaderAddress() string {
	status := m.Quorum.Status()
	if status.Role == "leader" || status.LeaderContactAge > maxLeaderContactAge.Seconds() {
		return ""
	}
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return member.Address
		}
	}
	return ""
}

// Retired returns a channel that is closed when the control group has removed
// this member, or has started without the folder of this founder. The folder must
// then be discarded before the instance starts again.
func (m *Member) Retired() <-chan struct{} {
	return m.joiner.Retired()
}

// Contacts returns the peer addresses at which the control group may be reached.
func (m *Member) Contacts() []string {
	return m.joiner.Contacts()
}

// Failure returns why the member no longer takes part in the control group, or "".
func (m *Member) Failure() string {
	return m.Quorum.Status().Failure
}

// SetSeeds replaces the addresses of the seeds after a change of the settings.
func (m *Member) SetSeeds(seeds []string) {
	m.directory.SetSeeds(seeds)
}

// Shutdown makes entries switch to other control instances and then closes the
// member. It does not wait for calls in progress and ignores the context.
func (m *Member) Shutdown(_ context.Context) {
	m.Group.Drain()
	m.Close()
}

// Close transfers the leadership, if this member is the leader, and stops the
// member without waiting for calls in progress.
func (m *Member) Close() {
	m.Quorum.TransferLeadership()
	m.closers.close()
}
