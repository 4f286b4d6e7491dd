// Package quorum implements the replicated log of the control group after the
// Raft paper: with pre-votes, leadership transfer, linearizable reads, snapshots
// and changes of one member at a time. Log entries that a majority of the voters
// has synced are committed, and every member applies them in order.
package quorum

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/statechart"
)

// StateMachine is the state machine that the log replicates. Apply must be
// deterministic: its effect and result depend only on the state and the command.
// The node makes one call at a time.
type StateMachine interface {
	// Apply executes one committed command and returns its result.
	Apply(command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Options configure a Node.
type Options struct {
	// ID is the id of this member. It must be that of the data folder.
	ID string
	// Members are the initial members of the group. Later members are added with
	// AddMember or AddLearner.
	Members      []Member
	Folder       disk.Folder
	StateMachine StateMachine
	Client       *peer.Client
	// Check reports invariant violations; nil means that they are only returned as
	// errors.
	Check *invariant.Checker
	// Voters is the maximum number of voters. Further members remain learners and
	// replace voters that are lost. 0 means that all members vote.
	Voters int
	// Contacts returns the addresses at which the group may be reached. An initial
	// member whose address they no longer include, and that does not respond, was
	// removed. nil means that there are only the initial members. Calls may be
	// concurrent.
	Contacts func() []string
	// SnapshotEntries is the number of applied entries after which a snapshot
	// replaces them in the log. 0 means the default of 4096.
	SnapshotEntries int
}

// Node is one member of the group. Its methods may be called concurrently.
type Node struct {
	options Options
	writer  *writer
	elector *elector
	applier *applier
	// bootstrapper is nil unless the member started as an initial member that was
	// not admitted.
	bootstrapper *bootstrapper
	stop         chan struct{}
	workers      sync.WaitGroup

	// openedAt is when this member started.
	openedAt time.Time

	mu     sync.Mutex
	closed bool
	// failed is why the member no longer takes part in the group; nil while it
	// does.
	failed   error
	identity identity
	// rejected is set once the group is known to have started without the folder of
	// this initial member. The folder is never admitted after that.
	rejected bool
	role     statechart.State
	term     uint64
	vote     string
	leader   string
	// lastLeaderContact is when the last message of the current leader arrived.
	lastLeaderContact time.Time
	log               entryLog
	// configuration is the newest in the log, committed or not;
	// configurationIndex is the index of its entry. baseConfiguration is the one at
	// the base of the log.
	configuration      configuration
	configurationIndex uint64
	baseConfiguration  configuration
	commit             uint64
	// persistedCommit is the commit index in the newest record queued for the log
	// file.
	persistedCommit uint64
	applied         uint64
	// snapshotSize is the size of the newest snapshot's data in bytes.
	snapshotSize int
	// pendingSnapshot is a received snapshot that the applier has not restored yet.
	pendingSnapshot  *snapshot
	incoming         incomingSnapshot
	election         *election
	leadership       *leadership
	pendingProposals map[uint64]*proposal
	// changed is closed and replaced at each change that waitFor may wait for.
	changed chan struct{}
}

// Open reads the data folder and starts the member. The member serves requests of
// other members only after a call of Handle. The caller must call Close.
func Open(options Options) (*Node, error) {
	if options.SnapshotEntries == 0 {
		options.SnapshotEntries = defaultSnapshotEntries
	}
	d, err := load(options.Folder)
	if err != nil {
		return nil, errors.Newf("open group member: %w", err)
	}
	n := &Node{
		options:          options,
		stop:             make(chan struct{}),
		openedAt:         time.Now(),
		role:             memberChart.Initial,
		pendingProposals: make(map[uint64]*proposal),
		changed:          make(chan struct{}),
	}
	err = n.restoreState(d)
	if err != nil {
		_ = d.file.Close()
		return nil, errors.Newf("open group member: %w", err)
	}
	n.writer = newWriter(options.Folder, d, n.synced)
	go n.writer.run()
	err = n.initializeIdentity()
	if err != nil {
		n.writer.close()
		return nil, errors.Newf("open group member: %w", err)
	}
	n.start()
	return n, nil
}

// restoreState initializes the node from the state in its data folder.
func (n *Node) restoreState(d *durableState) error {
	if d.identity.ID != "" && d.identity.ID != n.options.ID {
		return errors.Newf("the data folder belongs to member %s, not to %s", d.identity.ID, n.options.ID)
	}
	n.identity = d.identity
	n.term = d.term
	n.vote = d.vote
	n.log = d.log
	n.baseConfiguration = d.segmentHead.Configuration
	n.commit = min(d.commit, d.log.last())
	n.persistedCommit = n.commit
	n.configuration, n.configurationIndex = n.configurationAt(n.log.last())
	if d.snapshot.Index == 0 {
		return nil
	}
	err := n.options.StateMachine.Restore(d.snapshot.Data)
	if err != nil {
		return errors.Newf("restore snapshot: %w", err)
	}
	n.applied = d.snapshot.Index
	n.snapshotSize = len(d.snapshot.Data)
	return nil
}

// initializeIdentity names a new data folder, admits the folder if the group has
// only one member, and returns once this is synced. It waits without holding
// n.mu, because the writer locks n.mu between two batches.
func (n *Node) initializeIdentity() error {
	return n.writer.wait(n.writeIdentity())
}

// writeIdentity queues the identity and returns the batch to wait for.
func (n *Node) writeIdentity() *batch {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.identity.ID == "" {
		n.identity = identity{ID: n.options.ID, Folder: rand.Text()}
		n.persist(nil)
	}
	if !n.identity.Admitted && n.isInitialMember() && len(n.options.Members) == 1 {
		n.admit(map[string]string{n.options.ID: n.identity.Folder})
	}
	return n.writer.newest()
}

// start starts the goroutines of the member.
func (n *Node) start() {
	n.elector = newElector(n)
	n.applier = &applier{node: n, wake: make(chan struct{}, 1)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applier.signal()
	n.workers.Go(n.elector.run)
	n.workers.Go(n.applier.run)
	if n.options.Voters > 0 {
		voterReplacer := &voterReplacer{node: n}
		n.workers.Go(voterReplacer.run)
	}
	if !n.identity.Admitted && n.isInitialMember() {
		n.bootstrapper = &bootstrapper{node: n}
		n.workers.Go(n.bootstrapper.run)
	}
}

// Handle registers the procedures that other members call on mux. Calls must carry
// secret.
func (n *Node) Handle(mux *http.ServeMux, secret peer.Secret) {
	peer.Handle(mux, secret, identifyProcedure, n.serveIdentify)
	peer.Handle(mux, secret, voteProcedure, n.serveVote)
	peer.Handle(mux, secret, transferProcedure, n.serveTransfer)
	peer.Handle(mux, secret, appendProcedure, n.serveAppend)
	peer.Handle(mux, secret, snapshotProcedure, n.serveSnapshot)
	peer.Handle(mux, secret, proposeProcedure, n.servePropose)
	peer.Handle(mux, secret, readProcedure, n.serveRead)
	peer.Handle(mux, secret, memberProcedure, n.serveMember)
}

// Close transfers the leadership, if this member leads, and stops the member.
func (n *Node) Close() {
	n.TransferLeadership()
	n.shutDown()
}

// shutDown stops the member without transferring its leadership.
func (n *Node) shutDown() {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	n.persistCommit()
	n.stepDown("", eventStop)
	if n.failed == nil {
		n.failed = errClosed
	}
	close(n.stop)
	n.broadcast()
	n.mu.Unlock()
	n.workers.Wait()
	n.writer.close()
}

// persist queues a record with the term, the vote, the commit index and new
// entries for the next sync. Without entries it includes the identity. The
// caller holds n.mu.
func (n *Node) persist(entries []entry) {
	r := record{Term: n.term, Vote: n.vote, Commit: n.commit, Entries: entries}
	if entries == nil {
		r.Identity = &n.identity
	}
	n.persistedCommit = n.commit
	err := n.writer.append(r)
	if err != nil {
		n.fail(err)
	}
}

// fail stops the member after a failure of its disk or state machine or after an
// invariant violation. It then returns this error from all calls. The caller
// holds n.mu.
func (n *Node) fail(err error) {
	if n.failed != nil {
		return
	}
	n.stepDown("", eventStop)
	n.failed = peer.Unavailable("group member stopped", err)
	n.broadcast()
}

// synced is called by the writer after each batch. A failed batch stops the
// member; a synced one may advance the commit index of a leader.
func (n *Node) synced(b *batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if b.err != nil {
		n.fail(b.err)
		return
	}
	if n.leadership == nil || b.term != n.term {
		return
	}
	n.leadership.synced = max(n.leadership.synced, b.index)
	n.advanceCommit()
}

// unlockAndSync unlocks n.mu and returns once all records queued so far are synced.
func (n *Node) unlockAndSync() error {
	newest := n.writer.newest()
	n.mu.Unlock()
	err := n.writer.wait(newest)
	if err != nil {
		return peer.Unavailable("sync", err)
	}
	return nil
}

// broadcast wakes all calls of waitFor. The caller holds n.mu.
func (n *Node) broadcast() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitFor waits until holds, called with n.mu held, returns true or an error. It
// returns an error if the member fails or ctx ends first.
func (n *Node) waitFor(ctx context.Context, holds func() (bool, error)) error {
	for {
		n.mu.Lock()
		done, err := holds()
		if err == nil {
			err = n.failed
		}
		changed := n.changed
		n.mu.Unlock()
		if err != nil {
			return err
		}
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return peer.Unavailable("wait for the group", ctx.Err())
		}
	}
}
