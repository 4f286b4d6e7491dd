package group

// Code classifies the result of a command.
type Code string

// Codes of results.
const (
	// CodeDone means applied, now or by an earlier send of the same id.
	CodeDone Code = "done"
	// CodeConflict means that the version number is not the current one.
	CodeConflict Code = "conflict"
	// CodeInvalid means refused whole; Detail says why.
	CodeInvalid Code = "invalid"
	// CodeIDReused means that the id was used for something else.
	CodeIDReused Code = "id_reused"
	// CodeHeld means that another attempt holds the claim.
	CodeHeld Code = "held"
	// CodeNotFound means that something named does not exist.
	CodeNotFound Code = "not_found"
)

// Result is what a command came to.
type Result struct {
	Code   Code   `cbor:"1,keyasint" json:"code"`
	Detail string `cbor:"2,keyasint,omitempty" json:"detail,omitempty"`
	// Version is the configuration version in force after a patch.
	Version uint64 `cbor:"3,keyasint,omitempty" json:"version,omitempty"`
	// Granted is the cumulative grant in tokens after a draw.
	Granted int64 `cbor:"4,keyasint,omitempty" json:"granted,omitempty"`
	// Tokens is what a deposit or a release moved.
	Tokens int64 `cbor:"5,keyasint,omitempty" json:"tokens,omitempty"`
	// Holder is the attempt that holds a claim.
	Holder string `cbor:"6,keyasint,omitempty" json:"holder,omitempty"`
	// Targets are the unspent tokens by workspace that a ledger should hold,
	// in the answer to its draws and reports.
	Targets map[string]int64 `cbor:"7,keyasint,omitempty" json:"targets,omitempty"`
	// ExchangeResults answer an exchange, by workspace.
	ExchangeResults map[string]ExchangeResult `cbor:"8,keyasint,omitempty" json:"shares,omitempty"`
	// Release is the operators' number of the whole document in force.
	Release uint64 `cbor:"9,keyasint,omitempty" json:"release,omitempty"`
}
