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
	billed  int64
	answer  Answer
}

// state is what the journal's changes add up to.
type state struct {
	epoch    string
	accounts map[string]*budget.Escrow
	records  map[recordID]*record
}

func newState() *state {
	return &state{
		accounts: make(map[string]*budget.Escrow),
		records:  make(map[recordID]*record),
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
	case reserved:
		return s.applyReserve(c.Reserve, check)
	case settled:
		return s.applySettle(c.Settle, check)
	case released:
		return s.applyRelease(c.Release, check)
	default:
		return errors.Newf("unknown change %T", c)
	}
}

func (s *state) applyReserve(r Reserve, check *invariant.Checker) error {
	id := recordID{workspace: r.Workspace, key: r.Key}
	old := s.records[id]
	from := requestChart.Initial
	if old != nil {
		from = old.state
	}
	to, err := next(from, eventReserve, check)
	if err != nil {
		return err
	}
	account := s.account(r.Workspace)
	if !account.Reserve(r.Tokens) {
		return check.Check(false, invariant.WithinGrant, "reserve %d of %d available", r.Tokens, account.Available())
	}
	s.records[id] = &record{state: to, reserve: r}
	return nil
}

func (s *state) applySettle(c Settle, check *invariant.Checker) error {
	held, err := s.held(c.Workspace, c.Key, c.Attempt)
	if err != nil {
		return err
	}
	to, err := next(held.state, eventSettle, check)
	if err != nil {
		return err
	}
	err = check.Check(c.Tokens <= held.reserve.Tokens, invariant.BillInReserve, "bill of %d above the reservation of %d", c.Tokens, held.reserve.Tokens)
	if err != nil {
		return err
	}
	account := s.account(c.Workspace)
	held.billed = account.Settle(held.reserve.Tokens, c.Tokens)
	held.answer = c.Answer
	held.state = to
	return within(account, check)
}

func (s *state) applyRelease(c Release, check *invariant.Checker) error {
	held, err := s.held(c.Workspace, c.Key, c.Attempt)
	if err != nil {
		return err
	}
	to, err := next(held.state, eventRelease, check)
	if err != nil {
		return err
	}
	account := s.account(c.Workspace)
	account.Settle(held.reserve.Tokens, 0)
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
		return from, check.Check(false, invariant.ChartTransition, "%v", err)
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
