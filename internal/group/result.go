package group

// Code classifies the result of a command.
type Code string

// Codes of results.
const (
	// CodeDone means that the command was applied, now or earlier under the same
	// ID.
	CodeDone Code = "done"
	// CodeConflict means that the patch was made against a version that is not
	// the current one.
	CodeConflict Code = "conflict"
	// CodeInvalid means that the whole command was refused; Detail gives the
	// reason.
	CodeInvalid Code = "invalid"
	// CodeIDReused means that the ID was used for a different command.
	CodeIDReused Code = "id_reused"
	// CodeHeld means that another attempt holds the claim, or that this attempt
	// abandoned it.
	CodeHeld Code = "held"
	// CodeNotFound means that the command names something that does not exist.
	CodeNotFound Code = "not_found"
)

// Result is the outcome of applying a command. Only the fields of the command's
// type are set.
type Result struct {
	Code   Code   `cbor:"1,keyasint" json:"code"`
	Detail string `cbor:"2,keyasint,omitempty" json:"detail,omitempty"`
	// Version is the current configuration version after a patch.
	Version uint64 `cbor:"3,keyasint,omitempty" json:"version,omitempty"`
	// Granted is the cumulative grant in tokens after a draw.
	Granted int64 `cbor:"4,keyasint,omitempty" json:"granted,omitempty"`
	// Tokens is how many tokens a deposit or a release moved.
	Tokens int64 `cbor:"5,keyasint,omitempty" json:"tokens,omitempty"`
	// Holder is the attempt that holds a claim.
	Holder string `cbor:"6,keyasint,omitempty" json:"holder,omitempty"`
	// Targets are the unspent tokens that a ledger should hold, by workspace,
	// in the result of a draw or a report.
	Targets map[string]int64 `cbor:"7,keyasint,omitempty" json:"targets,omitempty"`
	// ExchangeResults are the results of an exchange, by workspace.
	ExchangeResults map[string]ExchangeResult `cbor:"8,keyasint,omitempty" json:"shares,omitempty"`
	// Release is the release number of the newest whole document.
	Release uint64 `cbor:"9,keyasint,omitempty" json:"release,omitempty"`
	// Quarantined are all prompt segments in quarantine.
	Quarantined []uint64 `cbor:"10,keyasint,omitempty" json:"quarantined,omitempty"`
	// QuarantinedRequests are the digests of all requests in quarantine.
	QuarantinedRequests []uint64 `cbor:"11,keyasint,omitempty" json:"quarantined_requests,omitempty"`
}
