package group

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/invariant"
)

// Epoch is one run of an entry or a ledger.
type Epoch struct {
	Instance      string `cbor:"1,keyasint" json:"instance"`
	FailureDomain string `cbor:"2,keyasint" json:"failure_domain"`
	Closed        bool   `cbor:"3,keyasint,omitempty" json:"closed,omitempty"`
	// Address is where a holder receives datagrams from other holders; it is
	// empty for a ledger.
	Address string `cbor:"4,keyasint,omitempty" json:"address,omitempty"`
}

// commandResult is the stored result of an operator command, which every resend
// of the command's id gets.
type commandResult struct {
	BodyHash string `cbor:"1,keyasint"`
	Result   Result `cbor:"2,keyasint"`
}

// claim records which attempt may execute a request that must not be repeated.
type claim struct {
	Holder    string `cbor:"1,keyasint"`
	BodyHash  []byte `cbor:"2,keyasint"`
	Abandoned bool   `cbor:"3,keyasint,omitempty"`
	// AbandonedHolders are the attempts that abandoned the key most recently. A
	// claim from one of them that arrives late is refused.
	AbandonedHolders []string `cbor:"4,keyasint,omitempty"`
}

// state is the state machine of the replicated log. Its fields are exported so
// that the snapshot encoder writes them.
type state struct {
	Configuration  configuration             `cbor:"1,keyasint"`
	Accounts       map[string]budget.Account `cbor:"2,keyasint"`
	Epochs         map[string]Epoch          `cbor:"3,keyasint"`
	CommandResults map[string]commandResult  `cbor:"4,keyasint"`
	Claims         map[string]claim          `cbor:"5,keyasint"`
	// Quarantined are the prompt segments in quarantine, the oldest first.
	Quarantined []uint64 `cbor:"6,keyasint,omitempty"`
	// QuarantinedRequests are the digests of the requests in quarantine, the oldest first.
	QuarantinedRequests []uint64 `cbor:"7,keyasint,omitempty"`

	// holdersByDomain caches the sorted open epochs of holders by failure
	// domain; it is nil after the epochs change.
	holdersByDomain map[string][]string
	// sums caches the sums over the open grants by workspace; see sumsOf.
	sums map[string]*budget.Sums
}

func newState() *state {
	return &state{
		Accounts:       make(map[string]budget.Account),
		Epochs:         make(map[string]Epoch),
		CommandResults: make(map[string]commandResult),
		Claims:         make(map[string]claim),
	}
}

// apply executes one command. Every member applies the same commands, so the
// result depends only on the state and the command.
func (s *state) apply(command Command, check *invariant.Checker) Result {
	switch c := command.(type) {
	case PatchConfiguration:
		return s.patchConfiguration(c, check)
	case ReplaceConfiguration:
		return s.replaceConfiguration(c, check)
	case Exchange:
		return s.exchange(c, check)
	case ChangeQuarantine:
		return s.changeQuarantine(c)
	case ChangeEvacuation:
		return s.Configuration.changeEvacuation(c)
	case Deposit:
		return s.runOnce("deposit/"+c.ID, commandHash(c), func() Result { return s.deposit(c, check) })
	case ReleaseInDoubt:
		return s.runOnce("release/"+c.ID, commandHash(c), func() Result { return s.release(c, check) })
	case OpenEpoch:
		return s.openEpoch(c)
	case CloseEpoch:
		return s.closeEpoch(c)
	case Draw:
		return s.draw(c, check)
	case Report:
		return s.report(c, check)
	case Claim:
		return s.claim(c)
	case AbandonClaim:
		return s.abandonClaim(c)
	default:
		return Result{Code: CodeInvalid, Detail: "unknown command"}
	}
}

// runOnce executes an operator command, or returns the stored result if the
// same id was executed before.
func (s *state) runOnce(id, bodyHash string, run func() Result) Result {
	previous, found := s.CommandResults[id]
	if found && previous.BodyHash != bodyHash {
		return Result{Code: CodeIDReused, Detail: "the id was used for another request: choose a new one"}
	}
	if found {
		return previous.Result
	}
	result := run()
	s.CommandResults[id] = commandResult{BodyHash: bodyHash, Result: result}
	return result
}

func (s *state) deposit(c Deposit, check *invariant.Checker) Result {
	if c.Tokens <= 0 {
		return Result{Code: CodeInvalid, Detail: "a deposit must be above zero tokens"}
	}
	account := s.account(c.Workspace)
	account.Deposit(c.Tokens)
	return s.storeAccount(c.Workspace, account, check, Result{Code: CodeDone, Tokens: c.Tokens})
}

func (s *state) release(c ReleaseInDoubt, check *invariant.Checker) Result {
	_, found := s.Accounts[c.Workspace]
	if !found || !s.Epochs[c.Epoch].Closed {
		return Result{Code: CodeNotFound, Detail: "the workspace has no closed ledger epoch of that name"}
	}
	account := s.account(c.Workspace)
	tokens := account.Release(c.Epoch)
	return s.storeAccount(c.Workspace, account, check, Result{Code: CodeDone, Tokens: tokens})
}

func (s *state) openEpoch(c OpenEpoch) Result {
	_, found := s.Epochs[c.Epoch]
	if found {
		return Result{Code: CodeDone}
	}
	s.Epochs[c.Epoch] = Epoch{Instance: c.Instance, FailureDomain: c.FailureDomain}
	return Result{Code: CodeDone}
}

func (s *state) closeEpoch(c CloseEpoch) Result {
	_, found := s.Epochs[c.Epoch]
	if !found {
		return Result{Code: CodeNotFound, Detail: "no ledger epoch of that name"}
	}
	s.endEpoch(c.Epoch, (*budget.Account).Close)
	return Result{Code: CodeDone}
}

// endEpoch marks an epoch closed and calls endGrant for each account in which
// it has a grant. It changes the accounts in place: to copy and check them all would
// cost the square of the number of holders when these restart together.
func (s *state) endEpoch(name string, endGrant func(account *budget.Account, epoch string)) {
	epoch := s.Epochs[name]
	epoch.Closed = true
	s.Epochs[name] = epoch
	s.holdersByDomain = nil
	for workspace, account := range s.Accounts {
		grant, granted := account.Grants[name]
		if !granted {
			continue
		}
		sums := s.sumsOf(workspace)
		endGrant(&account, name)
		s.Accounts[workspace] = account
		sums.Replace(grant, budget.Grant{Closed: true})
	}
}

func (s *state) draw(c Draw, check *invariant.Checker) Result {
	epoch, found := s.Epochs[c.Epoch]
	if !found || epoch.Closed {
		return Result{Code: CodeNotFound, Detail: "the ledger epoch is not open"}
	}
	account := s.account(c.Workspace)
	granted, target := account.DrawFor(c.Epoch, c.KnownGrant, budget.DrawRequest{Need: c.Want, UpToTarget: c.UpToTarget, Demand: c.Demand})
	return s.storeAccount(c.Workspace, account, check, Result{Code: CodeDone, Granted: granted, Targets: map[string]int64{c.Workspace: target}})
}

// report records a ledger's counters and returns its targets. Counters that
// would exceed a grant are reported as a violated invariant and skipped.
func (s *state) report(c Report, check *invariant.Checker) Result {
	targets := make(map[string]int64, len(c.Counters))
	for workspace, counters := range c.Counters {
		_, found := s.Accounts[workspace]
		if !found && counters.Deposited == 0 {
			continue
		}
		account := s.account(workspace)
		err := account.Report(c.Epoch, counters)
		if err != nil {
			_ = check.Check(false, invariant.WithinGrant, "workspace %s: %v", workspace, err)
			continue
		}
		s.storeAccount(workspace, account, check, Result{})
		targets[workspace] = account.Target(c.Epoch)
	}
	return Result{Code: CodeDone, Targets: targets}
}

// account returns a copy of a workspace's account, so that a change that
// storeAccount refuses leaves the state untouched.
func (s *state) account(workspace string) budget.Account {
	account := s.Accounts[workspace]
	account.Grants = maps.Clone(account.Grants)
	return account
}

// storeAccount replaces a workspace's account and returns result, or refuses an
// account whose tokens do not add up.
func (s *state) storeAccount(workspace string, account budget.Account, check *invariant.Checker, result Result) Result {
	err := account.Check()
	if err != nil {
		_ = check.Check(false, invariant.DepositsBalance, "workspace %s: %v", workspace, err)
		return Result{Code: CodeInvalid, Detail: err.Error()}
	}
	s.Accounts[workspace] = account
	delete(s.sums, workspace)
	return result
}

// commandHash returns a hash of the command, which reveals an id that is reused
// for a different command.
func commandHash(command Command) string {
	data, err := encodeCommand(command)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
