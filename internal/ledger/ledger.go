// Package ledger is a failure domain's synced journal of reservations,
// settlements and request records. It spends only out of its own grants, so
// that it can go on alone while its failure domain is cut off.
package ledger

import (
	"bytes"
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	journalFile = "ledger.journal"

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
	Log   *log.Logger
	Check *invariant.Checker
}

// Ledger is the open journal and what it adds up to.
type Ledger struct {
	options Options
	journal *journal.Journal
	stop    context.CancelFunc
	done    chan struct{}

	mu sync.Mutex
	// state is guarded by mu; a change is applied before it is synced and
	// acknowledged after.
	state *state
	// draws holds one slot a workspace, so that one draw runs at a time.
	draws map[string]chan struct{}
	// registered tells that the group knows the epoch.
	registered bool
}

// Open reads the journal back and starts to report to the group.
func Open(options Options) (*Ledger, error) {
	file, records, err := journal.Open(options.Folder, journalFile)
	if err != nil {
		return nil, errors.Newf("open ledger: %w", err)
	}
	l := &Ledger{
		options: options,
		journal: file,
		done:    make(chan struct{}),
		state:   newState(),
		draws:   make(map[string]chan struct{}),
	}
	err = l.recover(records)
	if err != nil {
		file.Close()
		return nil, errors.Newf("recover ledger: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	go l.run(ctx)
	return l, nil
}

func (l *Ledger) recover(records [][]byte) error {
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
// or is the only user. The channel answers once the change is durable.
func (l *Ledger) commit(c change) <-chan error {
	failed := make(chan error, 1)
	data, err := encodeChange(c)
	if err != nil {
		failed <- err
		return failed
	}
	err = l.state.apply(c, l.options.Check)
	if err != nil {
		failed <- err
		return failed
	}
	return l.journal.Append(data)
}

// Reserve sets the worst case of a request aside, or tells what is known of
// the request already. An error that wraps peer.ErrUnavailable means that
// nothing was reserved for certain.
func (l *Ledger) Reserve(ctx context.Context, r Reserve) (Reservation, error) {
	answer, synced, short := l.tryReserve(r)
	if short {
		err := l.draw(ctx, r.Workspace, r.Tokens)
		if err != nil {
			l.options.Log.Debug("draw failed", "workspace", r.Workspace, "err", err)
		}
		answer, synced, _ = l.tryReserve(r)
	}
	if synced == nil {
		return answer, nil
	}
	err := <-synced
	if err != nil {
		return Reservation{}, errors.Newf("reserve: %w: %w", peer.ErrUnavailable, err)
	}
	return answer, nil
}

func (l *Ledger) tryReserve(r Reserve) (answer Reservation, synced <-chan error, short bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.state.records[recordID{workspace: r.Workspace, key: r.Key}]
	if old != nil && !bytes.Equal(old.reserve.BodyHash, r.BodyHash) {
		return Reservation{Outcome: OutcomeMismatch}, nil, false
	}
	if old != nil && old.state != stateReleased {
		return known(old), nil, false
	}
	available := l.state.account(r.Workspace).Available()
	if available < r.Tokens {
		return Reservation{Outcome: OutcomeInsufficient, Available: available}, nil, true
	}
	synced = l.commit(reserved{Reserve: r})
	return Reservation{Outcome: OutcomeReserved, Attempt: r.Attempt, Server: r.Server}, synced, false
}

// known answers for a request that the ledger has a record of.
func known(old *record) Reservation {
	answer := Reservation{Attempt: old.reserve.Attempt, Server: old.reserve.Server}
	switch old.state {
	case stateReserved:
		answer.Outcome = OutcomeRunning
	case stateSettled:
		answer.Outcome = OutcomeSettled
		answer.Answer = old.answer
	default:
		answer.Outcome = OutcomeUnknown
	}
	return answer
}

// Settle bills a request once; a resend changes nothing.
func (l *Ledger) Settle(_ context.Context, s Settle) error {
	l.mu.Lock()
	held, err := l.state.held(s.Workspace, s.Key, s.Attempt)
	if err != nil {
		l.mu.Unlock()
		return errors.Newf("settle: %w: %w", peer.ErrInvalid, err)
	}
	if held.state == stateSettled {
		l.mu.Unlock()
		return nil
	}
	synced := l.commit(settled{Settle: s})
	l.mu.Unlock()
	err = <-synced
	if err != nil {
		return errors.Newf("settle: %w: %w", peer.ErrUnavailable, err)
	}
	return nil
}

// Release gives a reservation back of which nothing was dispatched; a resend
// changes nothing.
func (l *Ledger) Release(_ context.Context, r Release) error {
	l.mu.Lock()
	held, err := l.state.held(r.Workspace, r.Key, r.Attempt)
	if err != nil {
		l.mu.Unlock()
		return errors.Newf("release: %w: %w", peer.ErrInvalid, err)
	}
	if held.state == stateReleased {
		l.mu.Unlock()
		return nil
	}
	synced := l.commit(released{Release: r})
	l.mu.Unlock()
	err = <-synced
	if err != nil {
		return errors.Newf("release: %w: %w", peer.ErrUnavailable, err)
	}
	return nil
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
	l.journal.Close()
}
