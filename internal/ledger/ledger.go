// Package ledger is a failure domain's synced journal of reservations,
// settlements and request records. It spends only out of its own grants, so
// that it can go on alone while its failure domain is cut off.
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
	reportInterval = time.Second
	reportTimeout  = 2 * time.Second
	drawTimeout    = time.Second
)

// Options configure a Ledger.
type Options struct {
	// Instance is the id of the control instance.
	Instance      string
	FailureDomain string
	Folder        disk.Folder
	// Group commits draws and reports.
	Group group.Log
	// Peers are the other ledgers; Client calls them.
	Peers  []Peer
	Client *peer.Client
	// AttemptQuerier asks backend servers about attempts; nil means that none tells.
	AttemptQuerier AttemptQuerier
	Log            *log.Logger
	Check          *invariant.Checker
	// Scope receives gauges; nil means none.
	Scope tally.Scope
}

// Peer is another ledger.
type Peer struct {
	Instance string
	Address  string
}

// Ledger is the open journal and what it adds up to.
type Ledger struct {
	options  Options
	stop     context.CancelFunc
	done     chan struct{}
	loopDone chan struct{}
	openedAt time.Time

	mu      sync.Mutex
	journal *journal.Journal
	// generation counts the snapshots that the journal follows.
	generation    uint64
	snapshotBytes int64
	// state is guarded by mu; a change is applied before it is synced and
	// acknowledged after.
	state *state
	// drawSlots holds one slot a workspace, so that one draw runs at a time.
	drawSlots map[string]chan struct{}
	// unreported names the workspaces whose counters are to be reported.
	unreported map[string]struct{}
	// demands holds what is followed of the workspaces in use.
	demands map[string]*workspaceDemand
	// registered tells that the group knows the epoch.
	registered     bool
	entryTracker   entryTracker
	conflictChecks map[recordID]*conflictCheck
	// unreconciled are shared keys that some other ledger was not asked about.
	unreconciled map[recordID]*requestRecord
	// unreachable are the other ledgers that did not answer last time.
	unreachable map[string]bool
}

// Open reads the journal back and starts to report to the group.
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

// load reads the snapshot and the journal that follows it.
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

// commit applies a change and queues it for the journal; the caller holds mu
// or is the only user. A change that the journal or the state refuses changes
// nothing. The channel answers once the change is durable.
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

// awaitDurable waits until all that the ledger has told itself so far is synced,
// which every answer that reads the state needs. It fails for good after a
// failed sync.
func (l *Ledger) awaitDurable() error {
	l.mu.Lock()
	synced := l.journal.Barrier()
	l.mu.Unlock()
	return markUnavailable(<-synced)
}

// markUnavailable marks an error as one after which another ledger may serve.
func markUnavailable(err error) error {
	if err == nil {
		return nil
	}
	return errors.Newf("ledger journal: %w", errors.Mark(err, peer.ErrUnavailable))
}

// markInvalid marks an error that a resend will meet again.
func markInvalid(err error) error {
	return errors.Mark(err, peer.ErrInvalid)
}

func nowMillis() int64 {
	return time.Now().UnixMilli()
}

// Escrow returns the ledger's part of a workspace's budget.
func (l *Ledger) Escrow(workspace string) budget.Escrow {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.state.accounts[workspace]
	if account == nil {
		return budget.Escrow{}
	}
	return *account
}

// Epoch returns the id of this life of the journal.
func (l *Ledger) Epoch() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.epoch
}

// Done is closed once the ledger has ended.
func (l *Ledger) Done() <-chan struct{} {
	return l.done
}

// Close ends the ledger and its journal.
func (l *Ledger) Close() {
	l.stop()
	<-l.done
	<-l.loopDone
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal.Close()
}
