package ledger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/group"
)

// fakeAttempts is an AttemptQuerier that reports the same state for each
// attempt, or an error if the state is empty.
type fakeAttempts struct {
	state  AttemptState
	tokens int64
}

func (a fakeAttempts) QueryAttempt(context.Context, string, string) (AttemptState, int64, error) {
	if a.state == "" {
		return "", 0, errors.New("attempt state not available")
	}
	return a.state, a.tokens, nil
}

// TestAttemptOfEndedEntryIsSettledOnce guards against tokens that stay
// reserved, or are billed twice, after an entry and the ledger stopped with an
// open attempt. It checks the bill and the retry for each report of the backend
// server.
func TestAttemptOfEndedEntryIsSettledOnce(t *testing.T) {
	tests := map[string]struct {
		fakeAttempts fakeAttempts
		repeatable   bool
		billed       int64
		retry        Outcome
	}{
		"generated":                     {fakeAttempts{AttemptDone, 30}, true, 30, OutcomeReserved},
		"more than the reservation":     {fakeAttempts{AttemptDone, 300}, false, 100, OutcomeSettled},
		"never arrived":                 {fakeAttempts{AttemptAbsent, 0}, true, 0, OutcomeReserved},
		"not repeatable, never arrived": {fakeAttempts{AttemptAbsent, 0}, false, 0, OutcomeReserved},
		"not available":                 {fakeAttempts{}, true, 100, OutcomeReserved},
		"not repeatable, not available": {fakeAttempts{}, false, 100, OutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				groupLog := newFundedLog(t, 1000)
				folder := &fake.Disk{}
				l := openLedgerWith(t, folder, groupLog, test.fakeAttempts)
				r := newReserve("key", "one")
				r.Repeatable = test.repeatable
				r.DispatchWindowMillis = 1000
				claim := group.Claim{Workspace: "north", Key: "key", BodyHash: []byte("body"), Holder: "one"}
				_, _ = group.Propose(t.Context(), groupLog, claim)
				mustReserve(t, l, r)
				time.Sleep(time.Hour)
				l.Close()
				l = openLedgerWith(t, folder, groupLog, test.fakeAttempts)
				defer l.Close()
				if l.Escrow("north").Billed != test.billed || l.Escrow("north").Reserved != 0 {
					t.Errorf("escrow is %+v, want %d billed and 0 reserved", l.Escrow("north"), test.billed)
				}
				r.Attempt = "two"
				got := mustReserve(t, l, r)
				if got.Outcome != test.retry {
					t.Errorf("outcome of the retry is %s, want %s", got.Outcome, test.retry)
				}
				if got.Outcome == OutcomeReserved && l.Escrow("north").Billed != l.Escrow("north").Voided {
					t.Errorf("the bill of the lost attempt is not voided after the retry reserved: %+v", l.Escrow("north"))
				}
				claim.Holder = "two"
				claimed, _ := group.Propose(t.Context(), groupLog, claim)
				if !test.repeatable && got.Outcome == OutcomeReserved && claimed.Code != group.CodeDone {
					t.Errorf("claim of the retry returned %s, want done", claimed.Code)
				}
			})
		})
	}
}

// TestReleasedRetryRestoresTheBill guards against a request that ran and has no
// bill, because a retry voided the bill and was released without a run, and
// against a restored bill that a crash or a snapshot loses.
func TestReleasedRetryRestoresTheBill(t *testing.T) {
	for _, recovery := range []string{"none", "journal", "snapshot of the retry", "snapshot of the bill"} {
		t.Run(recovery, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testReleasedRetry(t, recovery) })
		})
	}
}

func testReleasedRetry(t *testing.T, recovery string) {
	folder := &fake.Disk{}
	groupLog := newFundedLog(t, 1000)
	attempts := fakeAttempts{AttemptDone, 30}
	l := openLedgerWith(t, folder, groupLog, attempts)
	defer func() { l.Close() }()
	mustReserve(t, l, newReserve("key", "one"))
	time.Sleep(time.Hour)
	mustReserve(t, l, newReserve("key", "two"))
	if recovery == "snapshot of the retry" {
		l = reopenFromSnapshot(t, l, folder, groupLog, attempts)
	}
	release := Release{Workspace: "north", Key: "key", Attempt: "two"}
	for range 2 {
		err := l.Release(t.Context(), release)
		if err != nil {
			t.Fatal(err)
		}
	}
	switch recovery {
	case "journal":
		l.Close()
		l = openLedgerWith(t, folder, groupLog, attempts)
	case "snapshot of the bill":
		l = reopenFromSnapshot(t, l, folder, groupLog, attempts)
	}
	escrow := l.Escrow("north")
	if escrow.Billed-escrow.Voided != 30 || escrow.Reserved != 0 || len(l.Bills()) != 1 {
		t.Errorf("escrow is %+v with bills %+v, want one bill of 30 tokens and none reserved", escrow, l.Bills())
	}
	late := mustReserve(t, l, newReserve("key", "two"))
	if late.Outcome != OutcomeReleased {
		t.Errorf("a reservation that arrived after its release got %s, want released", late.Outcome)
	}
	next := mustReserve(t, l, newReserve("key", "three"))
	if next.Outcome != OutcomeReserved {
		t.Errorf("the next retry got %s, want reserved", next.Outcome)
	}
	err := l.Settle(t.Context(), newSettle("key", "three"))
	escrow = l.Escrow("north")
	if err != nil || escrow.Billed-escrow.Voided != 40 || len(l.Bills()) != 1 {
		t.Errorf("escrow is %+v with bills %+v and error %v, want one bill of 40 tokens", escrow, l.Bills(), err)
	}
}

// reopenFromSnapshot writes a snapshot and opens the ledger again from it.
func reopenFromSnapshot(t *testing.T, l *Ledger, folder *fake.Disk, groupLog group.Log, attempts AttemptQuerier) *Ledger {
	t.Helper()
	err := l.rotate()
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return openLedgerWith(t, folder, groupLog, attempts)
}

// TestLiveEntryKeepsItsReservation guards against ending an attempt while its
// entry sends heartbeats. After a heartbeat of a newer epoch of the entry,
// the attempt must be released.
func TestLiveEntryKeepsItsReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := openLedgerWith(t, &fake.Disk{}, newFundedLog(t, 1000), fakeAttempts{AttemptAbsent, 0})
		defer l.Close()
		mustReserve(t, l, newReserve("key", "one"))
		for range 60 {
			time.Sleep(5 * time.Second)
			_, _ = l.serveHeartbeat(t.Context(), &heartbeatRequest{Entry: "entry-a/1"})
		}
		if l.Escrow("north").Reserved != 100 {
			t.Errorf("escrow is %+v, want 100 reserved", l.Escrow("north"))
		}
		_, _ = l.serveHeartbeat(t.Context(), &heartbeatRequest{Entry: "entry-a/2"})
		time.Sleep(10 * time.Second)
		if l.Escrow("north").Reserved != 0 {
			t.Errorf("escrow is %+v after the entry was replaced, want 0 reserved", l.Escrow("north"))
		}
		err := l.Settle(t.Context(), newSettle("key", "one"))
		if !errors.Is(err, ErrNoReservation) {
			t.Errorf("a late settlement of a released attempt returned %v, want ErrNoReservation", err)
		}
	})
}

// TestAwaitReturnsResponseOfRunningAttempt guards against a retry that misses
// the response of the attempt that it waits for.
func TestAwaitReturnsResponseOfRunningAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := openLedger(t, &fake.Disk{}, newFundedLog(t, 1000))
		defer l.Close()
		mustReserve(t, l, newReserve("key", "one"))
		go func() {
			time.Sleep(2 * time.Second)
			_ = l.Settle(context.Background(), newSettle("key", "one"))
		}()
		got, err := l.Await(t.Context(), "north", "key")
		if err != nil || got.Outcome != OutcomeSettled || string(got.Response.Body) != "whole" {
			t.Errorf("got %+v and error %v, want the settled response", got, err)
		}
	})
}

// TestSnapshotReplacesTheJournal guards against state that is missing after a
// recovery from a snapshot and the journal that follows it, and against records
// that are kept past the retention.
func TestSnapshotReplacesTheJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := &fake.Disk{}
		groupLog := newFundedLog(t, 10_000)
		l := openLedger(t, folder, groupLog)
		mustReserve(t, l, newReserve("settled", "one"))
		err := l.Settle(t.Context(), newSettle("settled", "one"))
		if err != nil {
			t.Fatal(err)
		}
		mustReserve(t, l, newReserve("open", "two"))
		_ = l.Release(t.Context(), Release{Workspace: "north", Key: "late", Attempt: "gone"})
		err = l.rotate()
		if err != nil {
			t.Fatal(err)
		}
		mustReserve(t, l, newReserve("after", "three"))
		synctest.Wait()
		want := l.Escrow("north")
		epoch := l.Epoch()
		folder.Crash(0)
		l.Close()
		l = openLedger(t, folder, groupLog)
		defer l.Close()
		got := l.Escrow("north")
		if withoutGrant(got) != withoutGrant(want) || got.Granted < want.Granted || l.Epoch() != epoch {
			t.Errorf("recovered escrow %+v in epoch %s, want %+v in epoch %s", l.Escrow("north"), l.Epoch(), want, epoch)
		}
		for key, outcome := range map[string]Outcome{"settled": OutcomeSettled, "open": OutcomeRunning, "after": OutcomeRunning} {
			got := mustReserve(t, l, newReserve(key, "retry"))
			if got.Outcome != outcome {
				t.Errorf("outcome of key %s is %s, want %s", key, got.Outcome, outcome)
			}
		}
		if mustReserve(t, l, newReserve("late", "gone")).Outcome != OutcomeReleased {
			t.Error("the abandoned attempt is missing in the snapshot: its reservation was not refused")
		}
		time.Sleep(retention + 2*time.Hour)
		if mustReserve(t, l, newReserve("settled", "new")).Outcome != OutcomeReserved {
			t.Error("the record still exists after the retention, want a new reservation")
		}
	})
}

// TestSnapshotHoldsManyBudgets guards against a snapshot that cannot be
// decoded, because it holds more budgets and records than one message may have
// elements.
func TestSnapshotHoldsManyBudgets(t *testing.T) {
	const count = 140_000
	folder := &fake.Disk{}
	groupLog := newFundedLog(t, 1_000)
	l := openLedger(t, folder, groupLog)
	l.mu.Lock()
	for i := range count {
		name := fmt.Sprintf("workspace-%d", i)
		_ = l.state.apply(granted{Workspace: name, Granted: 100}, nil)
		at := nowMillis()
		r := newReserve("key", fmt.Sprintf("attempt-%d", i))
		r.Workspace = name
		_ = l.state.apply(reserved{Reserve: r, At: at}, nil)
		_ = l.state.apply(settled{Settle: Settle{Workspace: name, Key: "key", Attempt: r.Attempt, Tokens: 40}, At: at}, nil)
	}
	l.mu.Unlock()
	err := l.rotate()
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	l = openLedger(t, folder, groupLog)
	defer l.Close()
	if len(l.Bills()) != count || l.Escrow("workspace-139999").Billed != 40 {
		t.Errorf("recovered %d bills, want 140000 with one of 40 tokens for workspace-139999", len(l.Bills()))
	}
}
