// Package ledger journals the token reservations, settlements and request
// records of one failure domain. A ledger spends only out of its own grants, so
// that it can go on serving while its failure domain cannot reach the control
// group.
package ledger

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	// reportInterval is the time between two reports of counters to the control
	// group.
	reportInterval = time.Second
	reportTimeout  = 2 * time.Second
	drawTimeout    = time.Second
)

// Options configures a Ledger.
type Options struct {
	// Instance is the id of the control instance that runs the ledger.
	Instance      string
	FailureDomain string
	// Folder stores the journal and its snapshot.
	Folder disk.Folder
	// Group is the replicated log of the control group, which commits draws and
	// reports.
	Group group.Log
	// Peers are the other ledgers, which Client calls.
	Peers  []Peer
	Client *peer.Client
	// AttemptQuerier queries backend servers about attempts. If it is nil, lost
	// attempts are billed in full after fullBillDelay.
	AttemptQuerier AttemptQuerier
	Log            *log.Logger
	// Check reports violated invariants.
	Check *invariant.Checker
	// Scope receives the gauges; nil disables them.
	Scope tally.Scope
}

// Peer is the instance id and the peer address of another ledger.
type Peer struct {
	Instance string
	Address  string
}

// Ledger is an open journal and the state replayed from it. Its methods may be
// called concurrently.
type Ledger struct {
	options Options
	stop    context.CancelFunc
	// done is closed when run has returned, loopDone when loop has.
	done     chan struct{}
	loopDone chan struct{}
	// openedAt counts as the last heartbeat of entries that have sent none
	// since the ledger opened.
	openedAt time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	journal *journal.Journal
	// generation counts the snapshots; the name of the journal file ends with
	// it.
	generation    uint64
	snapshotBytes int64
	// state is the result of all changes. A change is applied to it before the
	// journal syncs the change, and is acknowledged only after the sync.
	state *state
	// drawSlots holds a channel of capacity one for each workspace, so that
	// only one draw of a workspace runs at a time.
	drawSlots map[string]chan struct{}
	// unreported holds the workspaces whose counters changed after their last
	// report.
	unreported map[string]struct{}
	// demands holds the demand of each workspace in use.
	demands map[string]*workspaceDemand
	// registered is set once the control group knows the epoch.
	registered bool
	// entryTracker tracks which entries are alive.
	entryTracker entryTracker
	// conflictChecks holds the checks with the other ledgers that are in
	// progress.
	conflictChecks map[recordID]*conflictCheck
	// unreconciled holds the records of shared keys that have not been compared
	// with every other ledger.
	unreconciled map[recordID]*requestRecord
	// unreachable holds the instance ids of the ledgers that did not respond to
	// the last call.
	unreachable map[string]bool
}

// Open opens the ledger in options.Folder, replays its journal and starts to
// report to the control group. The caller must call Close.
func Open(options Options) (*Ledger, error) {
	l := &Ledger{
		options:        options,
		done:           make(chan struct{}),
		loopDone:       make(chan struct{}),
		openedAt:       time.Now(),
		drawSlots:      make(map[string]chan struct{}),
		unreported:     make(map[string]struct{}),
		conflictChecks: make(map[recordID]*conflictCheck),
		unreconciled:   make(map[recordID]*requestRecord),
		unreachable:    make(map[string]bool),
	}
	err := l.load()
	if err != nil {
		return nil, errors.Newf("open ledger: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	go l.run(ctx)
	go l.loop(ctx)
	return l, nil
}

// load reads the snapshot and replays the journal that follows it.
func (l *Ledger) load() error {
	err := l.readSnapshot()
	if err != nil {
		return err
	}
	file, records, err := journal.Open(l.options.Folder, journalName(l.generation))
	if err != nil {
		return err
	}
	l.journal = file
	err = l.replay(records)
	if err != nil {
		file.Close()
		return errors.Newf("recover ledger: %w", err)
	}
	l.removeOldJournals()
	for id, record := range l.state.records {
		if record.reserve.SharedKey && record.state != stateReleased && record.state != stateVoided {
			l.unreconciled[id] = record
		}
	}
	return nil
}

// replay applies the records of the journal. If neither the snapshot nor a
// record names an epoch, it opens a new one.
func (l *Ledger) replay(records [][]byte) error {
	for i, data := range records {
		c, err := decodeChange(data)
		if err != nil {
			return errors.Newf("journal record %d: %w", i, err)
		}
		err = l.state.apply(c, l.options.Check)
		if err != nil {
			return errors.Newf("journal record %d: %w", i, err)
		}
	}
	if l.state.epoch != "" {
		return nil
	}
	return <-l.commit(epochOpened{Epoch: l.options.Instance + "/" + rand.Text()})
}

// commit applies a change to the state and queues it for the journal. If the
// journal or the state rejects the change, nothing changes. The channel
// receives the error, or nil once the change is durable. The caller holds mu or
// is the only user of the ledger.
func (l *Ledger) commit(c change) <-chan error {
	failed := make(chan error, 1)
	data, err := encodeChange(c)
	if err == nil {
		err = l.journal.CheckAppend(data)
	}
	if err == nil {
		err = l.state.apply(c, l.options.Check)
	}
	if err != nil {
		failed <- err
		return failed
	}
	l.trackChange(c)
	return l.journal.Append(data)
}

// awaitDurable waits until every change applied so far is synced; a response
// that reads the state is sent only after that. After a failed sync it always
// returns an error.
func (l *Ledger) awaitDurable() error {
	l.mu.Lock()
	synced := l.journal.Barrier()
	l.mu.Unlock()
	return markUnavailable(<-synced)
}

// markUnavailable wraps an error and marks it with peer.ErrUnavailable: the
// caller may try another ledger.
func markUnavailable(err error) error {
	if err == nil {
		return nil
	}
	return errors.Newf("ledger journal: %w", errors.Mark(err, peer.ErrUnavailable))
}

// markInvalid marks an error with peer.ErrInvalid: the same call would fail
// again.
func markInvalid(err error) error {
	return errors.Mark(err, peer.ErrInvalid)
}

// nowMillis returns the time in milliseconds since the Unix epoch.
func nowMillis() int64 {
	return time.Now().UnixMilli()
}

// Escrow returns a copy of the ledger's account of a workspace's budget. It is
// zero if the ledger has none.
func (l *Ledger) Escrow(workspace string) budget.Escrow {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.state.accounts[workspace]
	if account == nil {
		return budget.Escrow{}
	}
	return *account
}

// Epoch returns the id of the ledger's epoch. It stays the same when the
// journal is reopened.
func (l *Ledger) Epoch() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.epoch
}

// Failure returns why the ledger accepts no more changes, or nil while it does. It
// must be opened again then.
func (l *Ledger) Failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.journal.Failure()
}

// Done returns a channel that is closed when the ledger has stopped reporting
// to the control group.
func (l *Ledger) Done() <-chan struct{} {
	return l.done
}

// Close stops the background goroutines, waits for them and closes the journal.
func (l *Ledger) Close() {
	l.stop()
	<-l.done
	<-l.loopDone
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal.Close()
}
