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

// acknowledged is what a ledger has acknowledged to its callers.
type acknowledged struct {
	billed   map[string]int64
	released map[string]bool
	// reservedBy maps keys to the attempts that got a reservation.
	reservedBy map[string]string
}

const randomSeeds = 200

// randomStep is one step of a random run. unsyncedBytes is how much unsynced
// data of each file a crash keeps.
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

// TestRandomRunsKeepAcknowledgedChanges guards against acknowledged changes
// that a crash loses and against a second bill for a key. It reserves, settles
// and releases at random on a disk that crashes and fails, and checks the state
// after each recovery.
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

// crash loses unsynced data except the first unsyncedBytes bytes of each file,
// and opens the ledger again.
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

// check compares a recovered ledger with what it has acknowledged. A change
// whose call returned an error may be present or absent.
func (a *acknowledged) check(t *testing.T, l *Ledger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, billed := range a.billed {
		record := l.state.records[recordID{workspace: "north", key: key}]
		if record == nil || record.state != stateSettled || record.billed != billed {
			t.Fatalf("key %s: acknowledged a bill of %d, but recovered %+v", key, billed, record)
		}
	}
	for key, attempt := range a.reservedBy {
		record, err := l.state.record("north", key, attempt)
		if err != nil {
			record = l.state.records[recordID{workspace: "north", key: key}]
			if record == nil || !a.released[key] {
				t.Fatalf("key %s: the reservation of attempt %s was acknowledged, but is lost after recovery", key, attempt)
			}
		}
		if a.released[key] && record.state == stateSettled {
			t.Fatalf("key %s: billed after its release was acknowledged", key)
		}
	}
	a.checkSums(t, l)
}

// checkSums checks that the escrow is the sum of the records.
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
		t.Fatalf("escrow is %+v, but the records reserve %d and bill %d tokens", escrow, open, billed)
	}
}

// checkRecovery recovers from the journal and then from a snapshot. The state
// must be the same each time.
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

// withoutGrant removes the grant, which the ledger changes in the background.
func withoutGrant(escrow budget.Escrow) budget.Escrow {
	escrow.Granted = 0
	return escrow
}

// summary returns a ledger's state in a comparable form.
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
		all["abandoned "+attempt] = fmt.Sprint(at)
	}
	return all
}
