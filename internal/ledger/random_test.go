package ledger

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/group"
)

// acknowledged is what callers of a ledger were told.
type acknowledged struct {
	billed   map[string]int64
	released map[string]bool
	// reservedBy are the attempts that got a reservation, by key.
	reservedBy map[string]string
}

const randomSeeds = 200

// randomStep is one step of a randomised run.
type randomStep struct {
	kind          int
	key           int
	tokens        int64
	unsyncedBytes int
	failing       bool
}

var randomSteps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) randomStep {
	return randomStep{
		kind:          rapid.IntRange(0, 9).Draw(t, "kind"),
		key:           rapid.IntRange(0, 5).Draw(t, "key"),
		tokens:        rapid.Int64Range(0, 100).Draw(t, "tokens"),
		unsyncedBytes: rapid.IntRange(0, 200).Draw(t, "kept"),
		failing:       rapid.Bool().Draw(t, "failing"),
	}
}), 10, 60)

// TestRandomRunsKeepAcknowledgedChanges reserves, settles and releases at
// random over a disk that crashes and fails. What was acknowledged must be
// there after each recovery, and nobody may be billed twice.
func TestRandomRunsKeepAcknowledgedChanges(t *testing.T) {
	for seed := range randomSeeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			steps := randomSteps.Example(seed)
			synctest.Test(t, func(t *testing.T) { randomRun(t, steps) })
		})
	}
}

func randomRun(t *testing.T, steps []randomStep) {
	folder := &fake.Disk{}
	groupLog := newFundedLog(t, 1_000_000)
	l := openLedger(t, folder, groupLog)
	defer func() { l.Close() }()
	acked := acknowledged{billed: make(map[string]int64), released: make(map[string]bool), reservedBy: make(map[string]string)}
	for i, step := range steps {
		key := fmt.Sprintf("key-%d", step.key)
		switch step.kind {
		case 0, 1, 2:
			acked.reserve(t, l, key, fmt.Sprintf("attempt-%d", i))
		case 3, 4, 5:
			acked.settle(t, l, key, step.tokens)
		case 6:
			acked.release(t, l, key)
		case 7:
			folder.SetFailing(step.failing)
		case 8:
			_ = l.rotate()
		default:
			l = crash(t, l, folder, groupLog, step.unsyncedBytes)
			acked.check(t, l)
		}
	}
	l = crash(t, l, folder, groupLog, 0)
	acked.check(t, l)
	l = checkRecovery(t, l, folder, groupLog)
}

func crash(t *testing.T, l *Ledger, folder *fake.Disk, groupLog group.Log, unsyncedBytes int) *Ledger {
	folder.Crash(unsyncedBytes)
	folder.SetFailing(false)
	l.Close()
	return openLedger(t, folder, groupLog)
}

func (a *acknowledged) reserve(t *testing.T, l *Ledger, key, attempt string) {
	got, err := l.Reserve(t.Context(), newReserve(key, attempt))
	if err == nil && got.Outcome == OutcomeReserved {
		a.reservedBy[key] = attempt
		delete(a.released, key)
	}
}

func (a *acknowledged) settle(t *testing.T, l *Ledger, key string, tokens int64) {
	attempt, found := a.reservedBy[key]
	if !found {
		return
	}
	s := newSettle(key, attempt)
	s.Tokens = tokens
	err := l.Settle(t.Context(), s)
	_, billed := a.billed[key]
	if err == nil && !billed {
		a.billed[key] = l.state.records[recordID{workspace: "north", key: key}].billed
	}
}

func (a *acknowledged) release(t *testing.T, l *Ledger, key string) {
	attempt, found := a.reservedBy[key]
	if found && l.Release(t.Context(), Release{Workspace: "north", Key: key, Attempt: attempt}) == nil {
		a.released[key] = true
	}
}

// check compares a recovered ledger with what was acknowledged. A step that
// failed may have been kept, but nothing beyond it.
func (a *acknowledged) check(t *testing.T, l *Ledger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, billed := range a.billed {
		record := l.state.records[recordID{workspace: "north", key: key}]
		if record == nil || record.state != stateSettled || record.billed != billed {
			t.Fatalf("key %s: acknowledged bill of %d, recovered %+v", key, billed, record)
		}
	}
	for key, attempt := range a.reservedBy {
		record, err := l.state.record("north", key, attempt)
		if err != nil {
			record = l.state.records[recordID{workspace: "north", key: key}]
			if record == nil || !a.released[key] {
				t.Fatalf("key %s: acknowledged attempt %s is lost", key, attempt)
			}
		}
		if a.released[key] && record.state == stateSettled {
			t.Fatalf("key %s: released and billed", key)
		}
	}
	a.checkSums(t, l)
}

func (a *acknowledged) checkSums(t *testing.T, l *Ledger) {
	var open, billed int64
	for _, record := range l.state.records {
		if record.isOpen() {
			open += record.reserve.Tokens
		}
		billed += record.billed
	}
	escrow := l.state.account("north")
	if escrow.Reserved != open || escrow.Billed != billed || escrow.Check() != nil {
		t.Fatalf("escrow %+v, records reserve %d and bill %d", escrow, open, billed)
	}
}

// checkRecovery recovers once more, and then from a snapshot: the state must be
// the same each time.
func checkRecovery(t *testing.T, l *Ledger, folder *fake.Disk, groupLog group.Log) *Ledger {
	want := summary(l)
	for _, snapshot := range []bool{false, true} {
		err := error(nil)
		if snapshot {
			err = l.rotate()
		}
		if err != nil {
			t.Fatalf("snapshot: %v", err)
		}
		l = crash(t, l, folder, groupLog, 0)
		got := summary(l)
		if !maps.Equal(got, want) {
			t.Fatalf("snapshot %t: recovered %v, want %v", snapshot, got, want)
		}
	}
	return l
}

// withoutGrant leaves out what a ledger draws in the background.
func withoutGrant(escrow budget.Escrow) budget.Escrow {
	escrow.Granted = 0
	return escrow
}

// summary is a ledger's state in a form that can be compared.
func summary(l *Ledger) map[string]string {
	all := make(map[string]string)
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, escrow := range l.state.accounts {
		comparableEscrow := withoutGrant(*escrow)
		if comparableEscrow != (budget.Escrow{}) {
			all["escrow "+name] = fmt.Sprintf("%+v", comparableEscrow)
		}
	}
	for id, record := range l.state.records {
		all["record "+id.key] = fmt.Sprintf("%+v", record.snapshot())
	}
	for attempt, at := range l.state.abandoned {
		all["gone "+attempt] = fmt.Sprint(at)
	}
	return all
}
