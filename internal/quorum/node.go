// Package quorum keeps the control group's replicated log: entries that a
// majority of the members has synced are applied by all of them in order.
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

// StateMachine is the state that the log drives. Apply must depend on nothing but
// the state and the command.
type StateMachine interface {
	// Apply executes one committed command and returns its result.
	Apply(command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Options configure a Node.
type Options struct {
	ID string
	// Members are the first members of the group. A member that joins later
	// is admitted by AddMember.
	Members      []Member
	Folder       disk.Folder
	StateMachine StateMachine
	Client       *peer.Client
	// Check asserts the invariants; nil means that they are only returned.
	Check *invariant.Checker
	// Voters bounds the members that vote; the others stay learners and take
	// the place of a voter that is lost. 0 means that all vote.
	Voters int
	// SnapshotEntries is how many applied entries the log keeps before a
	// snapshot replaces them; 0 means the default.
	SnapshotEntries int
}

// Node is one member.
type Node struct {
	options Options
	writer  *writer
	elector *elector
	applier *applier
	stop    chan struct{}
	workers sync.WaitGroup

	// opened is when this member started.
	openedAt time.Time

	mu     sync.Mutex
	closed bool
	// failed is why the member takes no more part.
	failed   error
	identity identity
	role     statechart.State
	term     uint64
	vote     string
	leader   string
	// heard is when the leader of the term was last heard.
	lastLeaderContact time.Time
	log               entryLog
	// configuration is the newest in the log, committed or not.
	configuration      configuration
	configurationIndex uint64
	baseConfiguration  configuration
	commit             uint64
	// commitSaved is the commit index that the folder knows.
	persistedCommit uint64
	applied         uint64
	// snapshotSize is the size of the last snapshot's state in bytes.
	snapshotSize int
	// restoring is a snapshot that the applier has not restored yet.
	pendingSnapshot  *snapshot
	incoming         incomingSnapshot
	election         *election
	leadership       *leadership
	pendingProposals map[uint64]*proposal
	// changed is closed and replaced at each change that somebody may await.
	changed chan struct{}
}

// Open reads the folder back and starts the member. It answers nobody before
// Handle is called.
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
	n.writer = newWriter(options.Folder, d.file, d.snapshot.Segment, n.synced)
	go n.writer.run()
	err = n.initializeIdentity()
	if err != nil {
		n.writer.close()
		return nil, errors.Newf("open group member: %w", err)
	}
	n.start()
	return n, nil
}

// restore takes over what the folder holds.
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

// identify names a folder that is new and admits the only member of a group
// at once. The wait holds no lock, which the writer needs between two batches.
func (n *Node) initializeIdentity() error {
	return n.writer.wait(n.writeIdentity())
}

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
		bootstrapper := &bootstrapper{node: n}
		n.workers.Go(bootstrapper.run)
	}
}

// Handle serves the other members on mux.
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

// Close hands a leadership over and ends the member.
func (n *Node) Close() {
	n.TransferLeadership()
	n.shutDown()
}

// end stops the member without a word to the others.
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

// save queues the durable state with new entries for the next sync.
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

// fail ends the member's part in the group after a fault of its disk.
func (n *Node) fail(err error) {
	if n.failed != nil {
		return
	}
	n.stepDown("", eventStop)
	n.failed = peer.Unavailable("group member stopped", err)
	n.broadcast()
}

// synced takes notice of a finished batch.
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

// unlockDurably unlocks the node and returns once all that was queued before
// is synced.
func (n *Node) unlockAndSync() error {
	newest := n.writer.newest()
	n.mu.Unlock()
	err := n.writer.wait(newest)
	if err != nil {
		return peer.Unavailable("sync", err)
	}
	return nil
}

// broadcast wakes whoever awaits a change.
func (n *Node) broadcast() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// await returns once holds, called under the lock, is true or fails.
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
