package group

import (
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/peer"
)

// Command is a change of the group's state: one of the types below.
type Command interface {
	isCommand()
}

// PatchConfiguration applies a JSON merge patch to one version of the
// configuration. It is refused if that version is no longer the current one.
type PatchConfiguration struct {
	// ID identifies the patch; a resend under the same ID returns the first
	// result.
	ID string `cbor:"1,keyasint"`
	// Against is the version that the patch was made for.
	Against uint64 `cbor:"2,keyasint"`
	Patch   []byte `cbor:"3,keyasint"`
	// Operator is the name of the operator's key.
	Operator string `cbor:"4,keyasint,omitempty"`
	// SubmittedAt is when a control instance received the patch, in
	// milliseconds since 1970.
	SubmittedAt int64 `cbor:"5,keyasint,omitempty"`
}

// Deposit adds prepaid tokens to a workspace's pool. It is idempotent by ID.
type Deposit struct {
	ID        string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	Tokens    int64  `cbor:"3,keyasint"`
}

// OpenEpoch registers the epoch of a ledger that starts with an empty journal.
type OpenEpoch struct {
	Epoch         string `cbor:"1,keyasint"`
	Instance      string `cbor:"2,keyasint"`
	FailureDomain string `cbor:"3,keyasint"`
}

// CloseEpoch ends the epoch of a ledger whose journal is lost.
type CloseEpoch struct {
	Epoch string `cbor:"1,keyasint"`
}

// ReleaseInDoubt returns a closed epoch's unspent tokens to the pool. It is
// idempotent by ID.
type ReleaseInDoubt struct {
	ID        string `cbor:"1,keyasint"`
	Epoch     string `cbor:"2,keyasint"`
	Workspace string `cbor:"3,keyasint"`
}

// Draw moves tokens from a workspace's pool into a ledger's grant.
type Draw struct {
	Epoch     string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	// KnownGrant is the cumulative grant in tokens that the ledger has seen. A
	// draw with an outdated KnownGrant changes nothing, which makes a resend
	// safe.
	KnownGrant int64 `cbor:"3,keyasint"`
	// Want is the number of tokens that the ledger needs.
	Want int64 `cbor:"4,keyasint"`
	// UpToTarget lets the group grant more than Want, up to the ledger's
	// target.
	UpToTarget bool `cbor:"5,keyasint,omitempty"`
	// Demand is the ledger's estimated spending in tokens per hour.
	Demand int64 `cbor:"6,keyasint,omitempty"`
}

// Report records a ledger's cumulative counters, by workspace.
type Report struct {
	Epoch    string                     `cbor:"1,keyasint"`
	Counters map[string]budget.Counters `cbor:"2,keyasint"`
}

// Claim reserves the only execution of a request that must not be repeated.
type Claim struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	BodyHash  []byte `cbor:"3,keyasint"`
	// Holder is the id of the attempt that may execute the request.
	Holder string `cbor:"4,keyasint"`
}

// AbandonClaim withdraws a claim whose holder never dispatched the request.
type AbandonClaim struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	Holder    string `cbor:"3,keyasint"`
}

func (PatchConfiguration) isCommand()   {}
func (Deposit) isCommand()              {}
func (OpenEpoch) isCommand()            {}
func (CloseEpoch) isCommand()           {}
func (ReleaseInDoubt) isCommand()       {}
func (Draw) isCommand()                 {}
func (Report) isCommand()               {}
func (Claim) isCommand()                {}
func (AbandonClaim) isCommand()         {}
func (ReplaceConfiguration) isCommand() {}
func (Exchange) isCommand()             {}
func (ChangeQuarantine) isCommand()     {}

// envelope is the encoded form of a command in the replicated log; exactly one
// field is set.
type envelope struct {
	PatchConfiguration   *PatchConfiguration   `cbor:"1,keyasint,omitempty"`
	Deposit              *Deposit              `cbor:"2,keyasint,omitempty"`
	OpenEpoch            *OpenEpoch            `cbor:"3,keyasint,omitempty"`
	CloseEpoch           *CloseEpoch           `cbor:"4,keyasint,omitempty"`
	ReleaseInDoubt       *ReleaseInDoubt       `cbor:"5,keyasint,omitempty"`
	Draw                 *Draw                 `cbor:"6,keyasint,omitempty"`
	Report               *Report               `cbor:"7,keyasint,omitempty"`
	Claim                *Claim                `cbor:"8,keyasint,omitempty"`
	AbandonClaim         *AbandonClaim         `cbor:"9,keyasint,omitempty"`
	ReplaceConfiguration *ReplaceConfiguration `cbor:"10,keyasint,omitempty"`
	Exchange             *Exchange             `cbor:"11,keyasint,omitempty"`
	ChangeQuarantine     *ChangeQuarantine     `cbor:"12,keyasint,omitempty"`
	ChangeEvacuation     *ChangeEvacuation     `cbor:"13,keyasint,omitempty"`
}

// encodeCommand returns the encoded envelope of command.
func encodeCommand(command Command) ([]byte, error) {
	var e envelope
	switch c := command.(type) {
	case PatchConfiguration:
		e.PatchConfiguration = &c
	case Deposit:
		e.Deposit = &c
	case OpenEpoch:
		e.OpenEpoch = &c
	case CloseEpoch:
		e.CloseEpoch = &c
	case ReleaseInDoubt:
		e.ReleaseInDoubt = &c
	case Draw:
		e.Draw = &c
	case Report:
		e.Report = &c
	case Claim:
		e.Claim = &c
	case AbandonClaim:
		e.AbandonClaim = &c
	case ReplaceConfiguration:
		e.ReplaceConfiguration = &c
	case Exchange:
		e.Exchange = &c
	case ChangeQuarantine:
		e.ChangeQuarantine = &c
	case ChangeEvacuation:
		e.ChangeEvacuation = &c
	default:
		return nil, errors.Newf("unknown command %T", command)
	}
	return peer.Encode(e)
}

// decodeCommand returns the command in an encoded envelope.
func decodeCommand(data []byte) (Command, error) {
	var e envelope
	err := peer.Decode(data, &e)
	if err != nil {
		return nil, errors.Newf("decode command: %w", err)
	}
	switch {
	case e.PatchConfiguration != nil:
		return *e.PatchConfiguration, nil
	case e.Deposit != nil:
		return *e.Deposit, nil
	case e.OpenEpoch != nil:
		return *e.OpenEpoch, nil
	case e.CloseEpoch != nil:
		return *e.CloseEpoch, nil
	case e.ReleaseInDoubt != nil:
		return *e.ReleaseInDoubt, nil
	case e.Draw != nil:
		return *e.Draw, nil
	case e.Report != nil:
		return *e.Report, nil
	case e.Claim != nil:
		return *e.Claim, nil
	case e.AbandonClaim != nil:
		return *e.AbandonClaim, nil
	case e.ReplaceConfiguration != nil:
		return *e.ReplaceConfiguration, nil
	case e.Exchange != nil:
		return *e.Exchange, nil
	case e.ChangeQuarantine != nil:
		return *e.ChangeQuarantine, nil
	case e.ChangeEvacuation != nil:
		return *e.ChangeEvacuation, nil
	default:
		return nil, errors.New("empty command")
	}
}
