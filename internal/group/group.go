// Package group is the control group's replicated state: configuration,
// deposits, grants, claims of non-repeatable requests and kept answers.
package group

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
)

// Log commits commands by majority.
type Log interface {
	// Propose commits command and returns the machine's result.
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// Group is the replicated state of one control instance. It is the Machine of
// its Log.
type Group struct {
	// Check asserts the invariants; nil means that they are only returned.
	Check *invariant.Checker
	// Members returns the addresses of the control group's members, which
	// watching instances learn; nil means that they learn none.
	Members func() []string
	// Lagging tells whether this instance may know less than others of its
	// group; nil means that it is never asked.
	Lagging func() bool
	// Listings is the list of backend servers, which watching instances learn;
	// nil means that there is none.
	Listings *instances.Poller

	mu      sync.Mutex
	state   *state
	changed chan struct{}
	// checksumVersion is the version that sum belongs to.
	checksumVersion uint64
	checksum        []byte
	// draining is closed when the instance is about to end.
	draining chan struct{}
	leaving  bool

	instances       instanceTable
	combinedPatches patchCache
}

// New returns an empty group state.
func New(check *invariant.Checker) *Group {
	return &Group{
		Check:    check,
		state:    newState(),
		changed:  make(chan struct{}),
		draining: make(chan struct{}),
	}
}

// Apply implements the log's machine.
func (g *Group) Apply(data []byte) []byte {
	result := g.applyCommand(data)
	encoded, err := peer.Encode(result)
	if err != nil {
		return nil
	}
	return encoded
}

func (g *Group) applyCommand(data []byte) Result {
	command, err := decodeCommand(data)
	if err != nil {
		return Result{Code: CodeInvalid, Detail: err.Error()}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.state.Configuration.current().Number
	result := g.state.apply(command, g.Check)
	if g.state.Configuration.current().Number != before {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	return result
}

// Propose commits command through log and returns its result.
func Propose(ctx context.Context, log Log, command Command) (Result, error) {
	data, err := encodeCommand(command)
	if err != nil {
		return Result{}, errors.Newf("encode command: %w", err)
	}
	answer, err := log.Propose(ctx, data)
	if err != nil {
		return Result{}, errors.Newf("propose command: %w", err)
	}
	var result Result
	err = peer.Decode(answer, &result)
	if err != nil {
		return Result{}, errors.Newf("decode result: %w", err)
	}
	return result, nil
}

// Current returns the newest configuration version known here and a channel
// that is closed at the next change.
func (g *Group) Current() (Version, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Configuration.current(), g.changed
}

// Account returns a copy of a workspace's account.
func (g *Group) Account(workspace string) (budget.Account, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	account, found := g.state.Accounts[workspace]
	if !found {
		return budget.Account{}, false
	}
	grants := make(map[string]budget.Grant, len(account.Grants))
	for epoch, grant := range account.Grants {
		grants[epoch] = grant
	}
	account.Grants = grants
	return account, true
}

// Epochs returns a copy of the ledger epochs.
func (g *Group) Epochs() map[string]Epoch {
	g.mu.Lock()
	defer g.mu.Unlock()
	epochs := make(map[string]Epoch, len(g.state.Epochs))
	for name, epoch := range g.state.Epochs {
		epochs[name] = epoch
	}
	return epochs
}
