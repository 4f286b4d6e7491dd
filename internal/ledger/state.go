package ledger

import (
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/statechart"
)

// Events of the request chart.
const (
	eventReserve statechart.Event = "reserve"
	eventSettle  statechart.Event = "settle"
	eventRelease statechart.Event = "release"
	eventLose    statechart.Event = "lose"
	eventVoid    statechart.Event = "void"
)

// States of the request chart.
const (
	stateReserved statechart.State = "reserved"
	stateSettled  statechart.State = "settled"
	stateReleased statechart.State = "released"
	stateUnknown  statechart.State = "unknown"
	stateVoided   statechart.State = "voided"
)

// requestChart defines the states of a request record.
var requestChart = statechart.MustLoad("request")

// ErrNoReservation reports that this ledger holds no reservation for an
// attempt.
var ErrNoReservation = errors.New("no such reservation")

// recordID identifies a request by its workspace and its idempotency key.
type recordID struct {
	workspace string
	key       string
}

// requestRecord is the state of one request and its latest attempt.
type requestRecord struct {
	state   statechart.State
	reserve Reserve
	// reservedAt, lostAt and endedAt are in milliseconds since the Unix epoch.
	// lostAt is 0 unless the attempt was marked as lost.
	reservedAt int64
	lostAt     int64
	endedAt    int64
	billed     int64
	response   Response
	// resultUnknown marks a bill of the whole reservation, made because the
	// backend server did not report what the attempt did.
	resultUnknown bool
	// voidedBill is the bill of the previous attempt that the reservation voided.
	// It is nil if there was none.
	voidedBill *voidedBill
	// ended is closed at the end of the attempt. It is nil until a caller waits
	// for it.
	ended chan struct{}
}

// voidedBill is a bill that a retry voided when it reserved. It is restored if
// the retry is released, because the earlier attempt did run.
type voidedBill struct {
	Tokens int64 `cbor:"1,keyasint"`
	// LostAt is in milliseconds since the Unix epoch.
	LostAt        int64 `cbor:"2,keyasint"`
	ResultUnknown bool  `cbor:"3,keyasint,omitempty"`
}

// isOpen reports whether the attempt may still run.
func (r *requestRecord) isOpen() bool {
	return r.state == stateReserved || r.state == stateUnknown
}

// mayRepeat reports whether the request may run again under its key. The new
// attempt replaces one that was billed after its entry ended and whose response
// was lost.
func (r *requestRecord) mayRepeat() bool {
	return r.state == stateSettled && r.lostAt > 0 && r.response.Status == 0 && r.reserve.Repeatable
}

// retentionItem is an ended record, or an attempt that was abandoned without a
// record.
type retentionItem struct {
	// at is the time of the end in milliseconds since the Unix epoch.
	at int64
	id recordID
	// attempt is set only for an abandoned attempt.
	attempt string
}

// state is the result of applying the journal's changes in order.
type state struct {
	epoch    string
	accounts map[string]*budget.Escrow
	records  map[recordID]*requestRecord
	// deposits holds the deposits that this ledger accepted, by id.
	deposits map[string]Deposit
	// open holds the records whose attempt may still run.
	open map[recordID]*requestRecord
	// abandoned holds the attempts whose reservation is refused, because they
	// were released before they reserved or another attempt replaced them. The
	// value is the time in milliseconds since the Unix epoch.
	abandoned map[string]int64
	// retentionQueue is in the order of time, the oldest item first.
	retentionQueue []retentionItem
	// withResponse holds the records that store a response, the oldest first,
	// and responseBytes is the size of the stored bodies.
	withResponse  []*requestRecord
	responseBytes int
}

func newState() *state {
	return &state{
		accounts:  make(map[string]*budget.Escrow),
		records:   make(map[recordID]*requestRecord),
		deposits:  make(map[string]Deposit),
		open:      make(map[recordID]*requestRecord),
		abandoned: make(map[string]int64),
	}
}

// account returns the escrow of a workspace and creates it if it is absent.
func (s *state) account(workspace string) *budget.Escrow {
	account := s.accounts[workspace]
	if account == nil {
		account = &budget.Escrow{}
		s.accounts[workspace] = account
	}
	return account
}

// apply applies one change. A change that the request chart or the budget does
// not allow returns an error and leaves the state unchanged.
func (s *state) apply(c change, check *invariant.Checker) error {
	switch c := c.(type) {
	case epochOpened:
		s.epoch = c.Epoch
		return nil
	case granted:
		account := s.account(c.Workspace)
		account.Granted = max(account.Granted, c.Granted)
		return nil
	case returned:
		return s.applyReturn(c, check)
	case deposited:
		return s.applyDeposit(c.Deposit)
	case reserved:
		return s.applyReserve(c, check)
	case settled:
		return s.applySettle(c, check)
	case released:
		return s.applyRelease(c, check)
	case lost:
		return s.applyLost(c, check)
	case voided:
		return s.applyVoid(c.Attempt, check)
	case expired:
		s.expire(c.Before)
		return nil
	default:
		return errors.Newf("unknown change %T", c)
	}
}

// applyReserve reserves tokens for an attempt. If the change voids the bill of
// the key's previous attempt, the voided tokens are available to the new one.
func (s *state) applyReserve(c reserved, check *invariant.Checker) error {
	r := c.Reserve
	id := recordID{workspace: r.Workspace, key: r.Key}
	old := s.records[id]
	from := requestChart.Initial
	if old != nil {
		from = old.state
	}
	account := *s.account(r.Workspace)
	var voided *voidedBill
	if c.VoidPrevious && old != nil {
		to, err := transition(from, eventVoid, check)
		if err != nil {
			return err
		}
		from = to
		account.Voided += old.billed
		voided = &voidedBill{Tokens: old.billed, LostAt: old.lostAt, ResultUnknown: old.resultUnknown}
	}
	to, err := transition(from, eventReserve, check)
	if err != nil {
		return err
	}
	if !account.Reserve(r.Tokens) {
		return check.Check(false, invariant.WithinGrant, "reserve %d of %d available", r.Tokens, account.Available())
	}
	*s.account(r.Workspace) = account
	if old != nil {
		s.abandon(id, old.reserve.Attempt, c.At)
	}
	record := &requestRecord{state: to, reserve: r, reservedAt: c.At, voidedBill: voided}
	s.records[id] = record
	s.open[id] = record
	return nil
}

// applySettle bills an open attempt and stores its response.
func (s *state) applySettle(c settled, check *invariant.Checker) error {
	record, err := s.record(c.Settle.Workspace, c.Settle.Key, c.Settle.Attempt)
	if err != nil {
		return err
	}
	err = check.Check(record.state != stateSettled && record.state != stateVoided, invariant.OneBillPerKey, "key %s is billed already", c.Settle.Key)
	if err != nil {
		return err
	}
	to, err := transition(record.state, eventSettle, check)
	if err != nil {
		return err
	}
	err = check.Check(c.Settle.Tokens <= record.reserve.Tokens, invariant.BillWithinReservation, "bill of %d above the reservation of %d", c.Settle.Tokens, record.reserve.Tokens)
	if err != nil {
		return err
	}
	account := s.account(c.Settle.Workspace)
	record.billed = account.Settle(record.reserve.Tokens, c.Settle.Tokens)
	record.resultUnknown = c.ResultUnknown
	record.voidedBill = nil
	record.state = to
	id := recordID{workspace: c.Settle.Workspace, key: c.Settle.Key}
	s.endAttempt(id, record, c.At)
	s.storeResponse(record, c.Settle.Response)
	return checkGrant(account, check)
}

// applyRelease ends a reservation without a bill, or with the bill that the
// reservation voided. An attempt that has no reservation is abandoned, so that its
// reservation is refused if it arrives later.
func (s *state) applyRelease(c released, check *invariant.Checker) error {
	id := recordID{workspace: c.Release.Workspace, key: c.Release.Key}
	record, err := s.record(id.workspace, id.key, c.Release.Attempt)
	if err != nil {
		s.abandon(id, c.Release.Attempt, c.At)
		return nil
	}
	if c.RestoreBill && record.voidedBill != nil {
		return s.restoreBill(id, record, c.At, check)
	}
	to, err := transition(record.state, eventRelease, check)
	if err != nil {
		return err
	}
	account := s.account(id.workspace)
	account.Settle(record.reserve.Tokens, 0)
	record.state = to
	s.endAttempt(id, record, c.At)
	return checkGrant(account, check)
}

// restoreBill ends a reservation with the bill that it voided. The attempt is
// abandoned, and the request may run again.
func (s *state) restoreBill(id recordID, record *requestRecord, at int64, check *invariant.Checker) error {
	to, err := transition(record.state, eventSettle, check)
	if err != nil {
		return err
	}
	account := s.account(id.workspace)
	record.billed = account.Settle(record.reserve.Tokens, record.voidedBill.Tokens)
	record.lostAt = record.voidedBill.LostAt
	record.resultUnknown = record.voidedBill.ResultUnknown
	record.voidedBill = nil
	record.state = to
	s.abandon(id, record.reserve.Attempt, at)
	s.endAttempt(id, record, at)
	return checkGrant(account, check)
}

// applyLost moves an attempt whose entry ended to the state unknown.
func (s *state) applyLost(c lost, check *invariant.Checker) error {
	record, err := s.record(c.Attempt.Workspace, c.Attempt.Key, c.Attempt.Attempt)
	if err != nil {
		return err
	}
	to, err := transition(record.state, eventLose, check)
	if err != nil {
		return err
	}
	record.state = to
	record.lostAt = c.At
	return nil
}

// applyVoid voids a bill because another ledger billed the same key.
func (s *state) applyVoid(c Release, check *invariant.Checker) error {
	record, err := s.record(c.Workspace, c.Key, c.Attempt)
	if err != nil {
		return err
	}
	to, err := transition(record.state, eventVoid, check)
	if err != nil {
		return err
	}
	account := s.account(c.Workspace)
	account.Voided += record.billed
	record.state = to
	return checkGrant(account, check)
}

// record returns the record of an attempt. The error wraps ErrNoReservation if
// the key has no record or the record belongs to another attempt.
func (s *state) record(workspace, key, attempt string) (*requestRecord, error) {
	found := s.records[recordID{workspace: workspace, key: key}]
	if found == nil || found.reserve.Attempt != attempt {
		return nil, errors.Newf("attempt %s of key %s: %w", attempt, key, ErrNoReservation)
	}
	return found, nil
}

// transition returns the next state in the request chart. An event that the
// chart does not allow violates invariant.TransitionInChart.
func transition(from statechart.State, event statechart.Event, check *invariant.Checker) (statechart.State, error) {
	to, err := requestChart.Next(from, event)
	if err != nil {
		return from, check.Check(false, invariant.TransitionInChart, "%v", err)
	}
	return to, nil
}

// checkGrant checks that the account reserves and bills no more than was
// granted.
func checkGrant(account *budget.Escrow, check *invariant.Checker) error {
	err := account.Check()
	if err != nil {
		return check.Check(false, invariant.WithinGrant, "%v", err)
	}
	return nil
}
