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

// record is what the ledger knows of one request.
type record struct {
	state   statechart.State
	reserve Reserve
	// reservedAt, lostAt and endedAt are in milliseconds since the Unix epoch.
	reservedAt int64
	lostAt     int64
	endedAt    int64
	billed     int64
	answer     Answer
	// unclear tells that nobody knows what the billed attempt did.
	unclear bool
	// ended is closed at the end of the attempt once somebody waits for it.
	ended chan struct{}
}

// isOpen tells whether the attempt may still run.
func (r *record) isOpen() bool {
	return r.state == stateReserved || r.state == stateUnknown
}

// mayRepeat tells whether the request may run again under its key, in place of
// an attempt that was billed after its entry ended and whose answer is lost.
func (r *record) mayRepeat() bool {
	return r.state == stateSettled && r.lostAt > 0 && r.answer.Status == 0 && r.reserve.Repeatable
}

// ending is a record or a given-up attempt in the order of its end.
type ending struct {
	at int64
	id recordID
	// attempt is set for an attempt that was given up without a record.
	attempt string
}

// state is what the journal's changes add up to.
type state struct {
	epoch    string
	accounts map[string]*budget.Escrow
	records  map[recordID]*record
	// deposits are those that this ledger accepted, by id.
	deposits map[string]Deposit
	// open holds the records whose attempt may still run.
	open map[recordID]*record
	// gone holds attempts that were given up before they reserved.
	gone map[string]int64
	// endings are in the order of time, the oldest first.
	endings []ending
	// kept are the records whose answer is kept, the oldest first.
	kept      []*record
	keptBytes int
}

func newState() *state {
	return &state{
		accounts: make(map[string]*budget.Escrow),
		records:  make(map[recordID]*record),
		deposits: make(map[string]Deposit),
		open:     make(map[recordID]*record),
		gone:     make(map[string]int64),
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
	case forgotten:
		s.forget(c.Before)
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
	if c.Again && old != nil {
		to, err := next(from, eventVoid, check)
		if err != nil {
			return err
		}
		from = to
		account.Voided += old.billed
	}
	to, err := next(from, eventReserve, check)
	if err != nil {
		return err
	}
	if !account.Reserve(r.Tokens) {
		return check.Check(false, invariant.WithinGrant, "reserve %d of %d available", r.Tokens, account.Available())
	}
	*s.account(r.Workspace) = account
	if old != nil {
		s.giveUp(id, old.reserve.Attempt, c.At)
	}
	held := &record{state: to, reserve: r, reservedAt: c.At}
	s.records[id] = held
	s.open[id] = held
	return nil
}

func (s *state) applySettle(c settled, check *invariant.Checker) error {
	held, err := s.held(c.Settle.Workspace, c.Settle.Key, c.Settle.Attempt)
	if err != nil {
		return err
	}
	err = check.Check(held.state != stateSettled && held.state != stateVoided, invariant.OneBillPerKey, "key %s is billed already", c.Settle.Key)
	if err != nil {
		return err
	}
	to, err := next(held.state, eventSettle, check)
	if err != nil {
		return err
	}
	err = check.Check(c.Settle.Tokens <= held.reserve.Tokens, invariant.BillWithinReservation, "bill of %d above the reservation of %d", c.Settle.Tokens, held.reserve.Tokens)
	if err != nil {
		return err
	}
	account := s.account(c.Settle.Workspace)
	held.billed = account.Settle(held.reserve.Tokens, c.Settle.Tokens)
	held.unclear = c.Unclear
	held.state = to
	id := recordID{workspace: c.Settle.Workspace, key: c.Settle.Key}
	s.end(id, held, c.At)
	s.keep(held, c.Settle.Answer)
	return within(account, check)
}

func (s *state) applyRelease(c released, check *invariant.Checker) error {
	id := recordID{workspace: c.Release.Workspace, key: c.Release.Key}
	held, err := s.held(id.workspace, id.key, c.Release.Attempt)
	if err != nil {
		s.giveUp(id, c.Release.Attempt, c.At)
		return nil
	}
	to, err := next(held.state, eventRelease, check)
	if err != nil {
		return err
	}
	account := s.account(id.workspace)
	account.Settle(held.reserve.Tokens, 0)
	held.state = to
	s.end(id, held, c.At)
	return within(account, check)
}

func (s *state) applyLost(c lost, check *invariant.Checker) error {
	held, err := s.held(c.Attempt.Workspace, c.Attempt.Key, c.Attempt.Attempt)
	if err != nil {
		return err
	}
	to, err := next(held.state, eventLose, check)
	if err != nil {
		return err
	}
	held.state = to
	held.lostAt = c.At
	return nil
}

// applyVoid takes a bill back because another ledger billed the same key.
func (s *state) applyVoid(c Release, check *invariant.Checker) error {
	held, err := s.held(c.Workspace, c.Key, c.Attempt)
	if err != nil {
		return err
	}
	to, err := next(held.state, eventVoid, check)
	if err != nil {
		return err
	}
	account := s.account(c.Workspace)
	account.Voided += held.billed
	held.state = to
	return within(account, check)
}

func (s *state) held(workspace, key, attempt string) (*record, error) {
	found := s.records[recordID{workspace: workspace, key: key}]
	if found == nil || found.reserve.Attempt != attempt {
		return nil, errors.Newf("attempt %s of key %s: %w", attempt, key, ErrNoReservation)
	}
	return found, nil
}

func next(from statechart.State, event statechart.Event, check *invariant.Checker) (statechart.State, error) {
	to, err := requestChart.Next(from, event)
	if err != nil {
		return from, check.Check(false, invariant.TransitionInChart, "%v", err)
	}
	return to, nil
}

func within(account *budget.Escrow, check *invariant.Checker) error {
	err := account.Check()
	if err != nil {
		return check.Check(false, invariant.WithinGrant, "%v", err)
	}
	return nil
}
