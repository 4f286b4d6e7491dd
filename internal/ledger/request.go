package ledger

// Reserve asks for tokens before a request is dispatched.
type Reserve struct {
	Workspace string `cbor:"1,keyasint"`
	// Key identifies the request within its workspace.
	Key      string `cbor:"2,keyasint"`
	BodyHash []byte `cbor:"3,keyasint"`
	// Tokens is the worst case.
	Tokens int64 `cbor:"4,keyasint"`
	// Attempt identifies this run of the request.
	Attempt string `cbor:"5,keyasint"`
	// Server is the backend server that is about to run it.
	Server string `cbor:"6,keyasint"`
	// Entry is the entry instance and its incarnation.
	Entry      string `cbor:"7,keyasint"`
	Repeatable bool   `cbor:"8,keyasint,omitempty"`
	// SharedKey marks a key that the caller chose, which other ledgers may get too.
	SharedKey bool `cbor:"9,keyasint,omitempty"`
	// DispatchWindowMillis is the time in milliseconds in which the attempt may be
	// dispatched.
	DispatchWindowMillis int64 `cbor:"10,keyasint,omitempty"`
}

// Settle ends a reservation with the actual tokens.
type Settle struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	Attempt   string `cbor:"3,keyasint"`
	Tokens    int64  `cbor:"4,keyasint"`
	// Response is kept for retries; it may be empty when it was too large.
	Response Response `cbor:"5,keyasint,omitempty"`
}

// Response is a backend server's whole answer, kept for retries.
type Response struct {
	Status      int    `cbor:"1,keyasint,omitempty"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
}

// Release ends a reservation of which nothing was dispatched.
type Release struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	Attempt   string `cbor:"3,keyasint"`
}

// Outcome classifies the answer to a Reserve.
type Outcome string

// Outcomes of a Reserve.
const (
	// OutcomeReserved means that the caller holds the reservation.
	OutcomeReserved Outcome = "reserved"
	// OutcomeRunning means that another attempt holds it.
	OutcomeRunning Outcome = "running"
	// OutcomeSettled means that the request ran; Answer holds what was kept.
	OutcomeSettled Outcome = "settled"
	// OutcomeUnknown means that it is unclear whether the request ran.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeMismatch means that the key was used with another body.
	OutcomeMismatch Outcome = "mismatch"
	// OutcomeInsufficient means that too few tokens are left.
	OutcomeInsufficient Outcome = "insufficient"
	// OutcomeReleased means that the attempt itself was given up before.
	OutcomeReleased Outcome = "released"
)

// OutcomeRedirect means that another ledger holds the request.
const OutcomeRedirect Outcome = "elsewhere"

// Reservation is the answer to a Reserve.
type Reservation struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Attempt and Server are those that hold or ran the request.
	Attempt  string   `cbor:"2,keyasint,omitempty"`
	Server   string   `cbor:"3,keyasint,omitempty"`
	Response Response `cbor:"4,keyasint,omitempty"`
	// Available is the number of tokens left when they were too few.
	Available int64 `cbor:"5,keyasint,omitempty"`
	// LedgerAddress is the address of the ledger that holds the request.
	LedgerAddress string `cbor:"6,keyasint,omitempty"`
}
