// Package group holds the state that the control group replicates: the
// configuration with its history, workspace budgets, ledger and entry epochs,
// claims of non-repeatable requests and the results of operator commands. It
// also serves that state to other instances and contains the clients that they
// use.
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

// Log is the replicated log of the control group.
type Log interface {
	// Propose commits command on a quorum and returns the result of applying
	// it.
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// Group is the replicated state of one control instance. It is the state
// machine that its Log drives, and is safe for concurrent use.
type Group struct {
	// Check reports violated invariants. If nil, violations only show up in the
	// results of commands.
	Check *invariant.Checker
	// Members returns the peer addresses of the control group's members, which
	// are sent to watching instances; nil sends none.
	Members func() []string
	// Lagging reports whether this instance may be behind other members of the
	// control group; nil means never.
	Lagging func() bool
	// Listings polls the list of backend servers, which is sent to watching
	// instances; nil means that this instance has no list.
	Listings *instances.Poller

	mu    sync.Mutex
	state *state
	// changed is closed and replaced when the configuration changes.
	changed chan struct{}
	// checksumVersion is the configuration version that checksum belongs to.
	checksumVersion uint64
	checksum        []byte
	// draining is closed when the instance starts to shut down.
	draining chan struct{}
	leaving  bool

	instances instanceTable
	updates   updateCache
	// lendersByWorkspace caches the lenders of workspaces; see rankedLenders.
	lendersByWorkspace map[string]*workspaceLenders
}

// New returns an empty group state that reports violated invariants to check,
// which may be nil.
func New(check *invariant.Checker) *Group {
	return &Group{
		Check:    check,
		state:    newState(),
		changed:  make(chan struct{}),
		draining: make(chan struct{}),
	}
}

// Apply executes one encoded command of the replicated log and returns its
// encoded Result.
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

// Propose commits command through log and returns its result. An error means
// that the command may or may not be committed.
func Propose(ctx context.Context, log Log, command Command) (Result, error) {
	data, err := encodeCommand(command)
	if err != nil {
		return Result{}, errors.Newf("encode command: %w", err)
	}
	encoded, err := log.Propose(ctx, data)
	if err != nil {
		return Result{}, errors.Newf("propose command: %w", err)
	}
	var result Result
	err = peer.Decode(encoded, &result)
	if err != nil {
		return Result{}, errors.Newf("decode result: %w", err)
	}
	return result, nil
}

// Current returns the newest configuration version known to this instance and a
// channel that is closed at the next change.
func (g *Group) Current() (Version, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Configuration.current(), g.changed
}

// Account returns a copy of a workspace's account, or false if the workspace
// has none.
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

// Epochs returns a copy of all ledger and entry epochs, by name.
func (g *Group) Epochs() map[string]Epoch {
	g.mu.Lock()
	defer g.mu.Unlock()
	epochs := make(map[string]Epoch, len(g.state.Epochs))
	for name, epoch := range g.state.Epochs {
		epochs[name] = epoch
	}
	return epochs
}
