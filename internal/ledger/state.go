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

var requestChart = statechart.MustLoad("request")

// ErrNoReservation reports a settlement or release of a reservation that this
// ledger does not hold.
var ErrNoReservation = errors.New("no such reservation")

// recordID identifies a request.
type recordID struct {
	workspace string
	key       string
}

// requestRecord is what the ledger knows of one request.
type requestRecord struct {
	state   statechart.State
	reserve Reserve
	// reservedAt, lostAt and endedAt are in milliseconds since the Unix epoch.
	reservedAt int64
	lostAt     int64
	endedAt    int64
	billed     int64
	response   Response
	// resultUnknown tells that nobody knows what the billed attempt did.
	resultUnknown bool
	// ended is closed at the end of the attempt once somebody waits for it.
	ended chan struct{}
}

// isOpen tells whether the attempt may still run.
func (r *requestRecord) isOpen() bool {
	return r.state == stateReserved || r.state == stateUnknown
}

// mayRepeat tells whether the request may run again under its key, in place of
// an attempt that was billed after its entry ended and whose answer is lost.
func (r *requestRecord) mayRepeat() bool {
	return r.state == stateSettled && r.lostAt > 0 && r.response.Status == 0 && r.reserve.Repeatable
}

// retentionItem is a record or a given-up attempt in the order of its end.
type retentionItem struct {
	at int64
	id recordID
	// attempt is set for an attempt that was given up without a record.
	attempt string
}

// state is what the journal's changes add up to.
type state struct {
	epoch    string
	accounts map[string]*budget.Escrow
	records  map[recordID]*requestRecord
	// deposits are those that this ledger accepted, by id.
	deposits map[string]Deposit
	// open holds the records whose attempt may still run.
	open map[recordID]*requestRecord
	// abandoned holds attempts that were given up before they reserved.
	abandoned map[string]int64
	// retentionQueue are in the order of time, the oldest first.
	retentionQueue []retentionItem
	// withResponse are the records whose answer is withResponse, the oldest first.
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

func (s *state) account(workspace string) *budget.Escrow {
	account := s.accounts[workspace]
	if account == nil {
		account = &budget.Escrow{}
		s.accounts[workspace] = account
	}
	return account
}

// apply executes one change; a change that the chart or the budget does not
// allow leaves the state as it was.
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

func (s *state) applyReserve(c reserved, check *invariant.Checker) error {
	r := c.Reserve
	id := recordID{workspace: r.Workspace, key: r.Key}
	old := s.records[id]
	from := requestChart.Initial
	if old != nil {
		from = old.state
	}
	account := *s.account(r.Workspace)
	if c.VoidPrevious && old != nil {
		to, err := transition(from, eventVoid, check)
		if err != nil {
			return err
		}
		from = to
		account.Voided += old.billed
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
	record := &requestRecord{state: to, reserve: r, reservedAt: c.At}
	s.records[id] = record
	s.open[id] = record
	return nil
}

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
	record.state = to
	id := recordID{workspace: c.Settle.Workspace, key: c.Settle.Key}
	s.endAttempt(id, record, c.At)
	s.storeResponse(record, c.Settle.Response)
	return checkGrant(account, check)
}

func (s *state) applyRelease(c released, check *invariant.Checker) error {
	id := recordID{workspace: c.Release.Workspace, key: c.Release.Key}
	record, err := s.record(id.workspace, id.key, c.Release.Attempt)
	if err != nil {
		s.abandon(id, c.Release.Attempt, c.At)
		return nil
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

// applyVoid takes a bill back because another ledger billed the same key.
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

func (s *state) record(workspace, key, attempt string) (*requestRecord, error) {
	found := s.records[recordID{workspace: workspace, key: key}]
	if found == nil || found.reserve.Attempt != attempt {
		return nil, errors.Newf("attempt %s of key %s: %w", attempt, key, ErrNoReservation)
	}
	return found, nil
}

func transition(from statechart.State, event statechart.Event, check *invariant.Checker) (statechart.State, error) {
	to, err := requestChart.Next(from, event)
	if err != nil {
		return from, check.Check(false, invariant.TransitionInChart, "%v", err)
	}
	return to, nil
}

func checkGrant(account *budget.Escrow, check *invariant.Checker) error {
	err := account.Check()
	if err != nil {
		return check.Check(false, invariant.WithinGrant, "%v", err)
	}
	return nil
}
