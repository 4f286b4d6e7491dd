package group

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/invariant"
)

// Epoch is one life of a ledger's journal.
type Epoch struct {
	Instance      string `cbor:"1,keyasint" json:"instance"`
	FailureDomain string `cbor:"2,keyasint" json:"failure_domain"`
	Closed        bool   `cbor:"3,keyasint,omitempty" json:"closed,omitempty"`
	// Address is where an escrow holder takes the datagrams of others.
	Address string `cbor:"4,keyasint,omitempty" json:"address,omitempty"`
}

// answer is the kept result of an operator's command, found by its id.
type answer struct {
	BodyHash string `cbor:"1,keyasint"`
	Result   Result `cbor:"2,keyasint"`
}

// claim is the only run of a request that must not be repeated.
type claim struct {
	Holder    string `cbor:"1,keyasint"`
	BodyHash  []byte `cbor:"2,keyasint"`
	Abandoned bool   `cbor:"3,keyasint,omitempty"`
	// Gone are the latest attempts that gave up, whose late claims are refused.
	Gone []string `cbor:"4,keyasint,omitempty"`
}

// state is what the replicated log drives. Its fields are exported for the
// snapshot's encoding.
type state struct {
	Configuration configuration             `cbor:"1,keyasint"`
	Accounts      map[string]budget.Account `cbor:"2,keyasint"`
	Epochs        map[string]Epoch          `cbor:"3,keyasint"`
	Answers       map[string]answer         `cbor:"4,keyasint"`
	Claims        map[string]claim          `cbor:"5,keyasint"`

	// holders are the open epochs of escrow holders in each failure domain, in
	// order; nil after a change of the epochs.
	holders map[string][]string
}

func newState() *state {
	return &state{
		Accounts: make(map[string]budget.Account),
		Epochs:   make(map[string]Epoch),
		Answers:  make(map[string]answer),
		Claims:   make(map[string]claim),
	}
}

// apply executes one command. It depends only on the state and the command.
func (s *state) apply(command Command, check *invariant.Checker) Result {
	switch c := command.(type) {
	case PatchConfiguration:
		return s.patchConfiguration(c, check)
	case ReplaceConfiguration:
		return s.replaceConfiguration(c, check)
	case Exchange:
		return s.exchange(c, check)
	case Deposit:
		return s.once("deposit/"+c.ID, fingerprint(c), func() Result { return s.deposit(c, check) })
	case ReleaseInDoubt:
		return s.once("release/"+c.ID, fingerprint(c), func() Result { return s.release(c, check) })
	case OpenEpoch:
		return s.openEpoch(c)
	case CloseEpoch:
		return s.closeEpoch(c, check)
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

// once runs an operator's command unless its id was answered before.
func (s *state) once(id, bodyHash string, run func() Result) Result {
	kept, found := s.Answers[id]
	if found && kept.BodyHash != bodyHash {
		return Result{Code: CodeIDReused, Detail: "the id was used for another request: choose a new one"}
	}
	if found {
		return kept.Result
	}
	result := run()
	s.Answers[id] = answer{BodyHash: bodyHash, Result: result}
	return result
}

func (s *state) deposit(c Deposit, check *invariant.Checker) Result {
	if c.Tokens <= 0 {
		return Result{Code: CodeInvalid, Detail: "a deposit must be above zero tokens"}
	}
	account := s.account(c.Workspace)
	account.Deposit(c.Tokens)
	return s.store(c.Workspace, account, check, Result{Code: CodeDone, Tokens: c.Tokens})
}

func (s *state) release(c ReleaseInDoubt, check *invariant.Checker) Result {
	_, found := s.Accounts[c.Workspace]
	if !found || !s.Epochs[c.Epoch].Closed {
		return Result{Code: CodeNotFound, Detail: "the workspace has no closed ledger epoch of that name"}
	}
	account := s.account(c.Workspace)
	tokens := account.Release(c.Epoch)
	return s.store(c.Workspace, account, check, Result{Code: CodeDone, Tokens: tokens})
}

func (s *state) openEpoch(c OpenEpoch) Result {
	_, found := s.Epochs[c.Epoch]
	if found {
		return Result{Code: CodeDone}
	}
	s.Epochs[c.Epoch] = Epoch{Instance: c.Instance, FailureDomain: c.FailureDomain}
	return Result{Code: CodeDone}
}

func (s *state) closeEpoch(c CloseEpoch, check *invariant.Checker) Result {
	_, found := s.Epochs[c.Epoch]
	if !found {
		return Result{Code: CodeNotFound, Detail: "no ledger epoch of that name"}
	}
	s.end(c.Epoch, check, (*budget.Account).Close)
	return Result{Code: CodeDone}
}

// end closes an epoch and ends its grants.
func (s *state) end(name string, check *invariant.Checker, endGrant func(account *budget.Account, epoch string)) {
	epoch := s.Epochs[name]
	epoch.Closed = true
	s.Epochs[name] = epoch
	s.holders = nil
	for workspace := range s.Accounts {
		account := s.account(workspace)
		_, granted := account.Grants[name]
		if granted {
			endGrant(&account, name)
			s.store(workspace, account, check, Result{})
		}
	}
}

func (s *state) draw(c Draw, check *invariant.Checker) Result {
	epoch, found := s.Epochs[c.Epoch]
	if !found || epoch.Closed {
		return Result{Code: CodeNotFound, Detail: "the ledger epoch is not open"}
	}
	account := s.account(c.Workspace)
	granted, target := account.DrawFor(c.Epoch, c.Known, budget.Ask{Need: c.Want, Ahead: c.Ahead, Demand: c.Demand})
	return s.store(c.Workspace, account, check, Result{Code: CodeDone, Granted: granted, Targets: map[string]int64{c.Workspace: target}})
}

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
		s.store(workspace, account, check, Result{})
		targets[workspace] = account.Target(c.Epoch)
	}
	return Result{Code: CodeDone, Targets: targets}
}

// account returns a copy of a workspace's account, so that a change that is
// refused in the end leaves the state as it was.
func (s *state) account(workspace string) budget.Account {
	account := s.Accounts[workspace]
	account.Grants = maps.Clone(account.Grants)
	return account
}

// store keeps an account that adds up and refuses one that does not.
func (s *state) store(workspace string, account budget.Account, check *invariant.Checker, result Result) Result {
	err := account.Check()
	if err != nil {
		_ = check.Check(false, invariant.DepositsBalance, "workspace %s: %v", workspace, err)
		return Result{Code: CodeInvalid, Detail: err.Error()}
	}
	s.Accounts[workspace] = account
	return result
}

// fingerprint returns a hash of the command, so that an id that is used for
// another body is noticed.
func fingerprint(command Command) string {
	data, err := encodeCommand(command)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
