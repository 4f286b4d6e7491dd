package ledger

// Reserve is the request to a ledger to reserve tokens before a caller's request
// is dispatched.
type Reserve struct {
	Workspace string `cbor:"1,keyasint"`
	// Key is the idempotency key, which identifies the request within its
	// workspace.
	Key      string `cbor:"2,keyasint"`
	BodyHash []byte `cbor:"3,keyasint"`
	// Tokens is the maximum number of tokens that the request may use.
	Tokens int64 `cbor:"4,keyasint"`
	// Attempt identifies this attempt of the request.
	Attempt string `cbor:"5,keyasint"`
	// Server is the backend server that the attempt will be sent to.
	Server string `cbor:"6,keyasint"`
	// Entry is the entry's instance id and epoch: "instance/epoch".
	Entry      string `cbor:"7,keyasint"`
	Repeatable bool   `cbor:"8,keyasint,omitempty"`
	// SharedKey marks a key that the caller chose. Other ledgers may get a
	// request with the same key.
	SharedKey bool `cbor:"9,keyasint,omitempty"`
	// DispatchWindowMillis is the time in milliseconds after the reservation in
	// which the attempt may be dispatched.
	DispatchWindowMillis int64 `cbor:"10,keyasint,omitempty"`
}

// Settle bills an attempt with the tokens that it used and ends its
// reservation.
type Settle struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	Attempt   string `cbor:"3,keyasint"`
	Tokens    int64  `cbor:"4,keyasint"`
	// Response is stored for retries. It is empty if the response was too large
	// to store.
	Response Response `cbor:"5,keyasint,omitempty"`
}

// Response is a backend server's complete response, stored for retries of the
// request.
type Response struct {
	Status      int    `cbor:"1,keyasint,omitempty"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
}

// Release ends the reservation of an attempt that was not dispatched. The
// fields also serve as the full id of an attempt.
type Release struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	Attempt   string `cbor:"3,keyasint"`
}

// Outcome classifies the result of a Reserve.
type Outcome string

// Outcomes of a Reserve.
const (
	// OutcomeReserved means that the attempt holds the reservation.
	OutcomeReserved Outcome = "reserved"
	// OutcomeRunning means that another attempt holds the reservation.
	OutcomeRunning Outcome = "running"
	// OutcomeSettled means that the request ran. Its response is included if
	// the ledger stores it.
	OutcomeSettled Outcome = "settled"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeMismatch means that the key was used for a request with another
	// body.
	OutcomeMismatch Outcome = "mismatch"
	// OutcomeInsufficient means that too few tokens are available.
	OutcomeInsufficient Outcome = "insufficient"
	// OutcomeReleased means that the attempt was released, or that the
	// request may run again under its key.
	OutcomeReleased Outcome = "released"
)

// OutcomeRedirect means that the ledger at LedgerAddress holds the request.
const OutcomeRedirect Outcome = "elsewhere"

// Reservation is the result of a Reserve or an Await.
type Reservation struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Attempt is the attempt that holds the reservation or ran the request, and
	// Server its backend server.
	Attempt  string   `cbor:"2,keyasint,omitempty"`
	Server   string   `cbor:"3,keyasint,omitempty"`
	Response Response `cbor:"4,keyasint,omitempty"`
	// Available is the number of available tokens if they were too few.
	Available int64 `cbor:"5,keyasint,omitempty"`
	// LedgerAddress is the address of the ledger that holds the request if
	// another one does.
	LedgerAddress string `cbor:"6,keyasint,omitempty"`
}
