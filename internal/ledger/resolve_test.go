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

// told is what a stand-in backend server tells of every attempt.
type told struct {
	state  AttemptState
	tokens int64
}

func (a told) Ask(context.Context, string, string) (AttemptState, int64, error) {
	if a.state == "" {
		return "", 0, errors.New("it cannot tell")
	}
	return a.state, a.tokens, nil
}

func TestEntryDeathIsSettledOnce(t *testing.T) {
	tests := map[string]struct {
		told       told
		repeatable bool
		billed     int64
		retry      Outcome
	}{
		"generated":                      {told{AttemptDone, 30}, true, 30, OutcomeReserved},
		"more than the reservation":      {told{AttemptDone, 300}, false, 100, OutcomeSettled},
		"never arrived":                  {told{AttemptAbsent, 0}, true, 0, OutcomeReserved},
		"not repeatable, never arrived":  {told{AttemptAbsent, 0}, false, 0, OutcomeReserved},
		"cannot tell":                    {told{}, true, 100, OutcomeReserved},
		"not repeatable and cannot tell": {told{}, false, 100, OutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				groupLog := fund(t, 1000)
				folder := &fake.Disk{}
				l := openWith(t, folder, groupLog, test.told)
				r := request("key", "one")
				r.Repeatable = test.repeatable
				r.Within = 1000
				claim := group.Claim{Workspace: "north", Key: "key", BodyHash: []byte("body"), Holder: "one"}
				_, _ = group.Propose(t.Context(), groupLog, claim)
				reserve(t, l, r)
				time.Sleep(time.Hour)
				l.Close()
				l = openWith(t, folder, groupLog, test.told)
				defer l.Close()
				if l.Escrow("north").Billed != test.billed || l.Escrow("north").Reserved != 0 {
					t.Errorf("escrow %+v, want %d billed", l.Escrow("north"), test.billed)
				}
				r.Attempt = "two"
				got := reserve(t, l, r)
				if got.Outcome != test.retry {
					t.Errorf("retry got %s, want %s", got.Outcome, test.retry)
				}
				if got.Outcome == OutcomeReserved && l.Escrow("north").Billed != l.Escrow("north").Voided {
					t.Errorf("the lost attempt's bill stays beside the retry's: %+v", l.Escrow("north"))
				}
				claim.Holder = "two"
				claimed, _ := group.Propose(t.Context(), groupLog, claim)
				if !test.repeatable && got.Outcome == OutcomeReserved && claimed.Code != group.CodeDone {
					t.Errorf("the retry's claim got %s", claimed.Code)
				}
			})
		})
	}
}

func TestLivingEntryKeepsItsReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := openWith(t, &fake.Disk{}, fund(t, 1000), told{AttemptAbsent, 0})
		defer l.Close()
		reserve(t, l, request("key", "one"))
		for range 60 {
			time.Sleep(5 * time.Second)
			_, _ = l.serveHeartbeat(t.Context(), &heartbeatRequest{Entry: "entry-a/1"})
		}
		if l.Escrow("north").Reserved != 100 {
			t.Errorf("escrow %+v", l.Escrow("north"))
		}
		_, _ = l.serveHeartbeat(t.Context(), &heartbeatRequest{Entry: "entry-a/2"})
		time.Sleep(10 * time.Second)
		if l.Escrow("north").Reserved != 0 {
			t.Errorf("a replaced entry kept its reservation: %+v", l.Escrow("north"))
		}
		err := l.Settle(t.Context(), settle("key", "one"))
		if !errors.Is(err, ErrNoReservation) {
			t.Errorf("a late settlement of a released attempt: %v", err)
		}
	})
}

func TestAwaitGetsTheAnswerOfTheRunningAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := open(t, &fake.Disk{}, fund(t, 1000))
		defer l.Close()
		reserve(t, l, request("key", "one"))
		go func() {
			time.Sleep(2 * time.Second)
			_ = l.Settle(context.Background(), settle("key", "one"))
		}()
		got, err := l.Await(t.Context(), "north", "key")
		if err != nil || got.Outcome != OutcomeSettled || string(got.Answer.Body) != "whole" {
			t.Errorf("got %+v, %v", got, err)
		}
	})
}

func TestSnapshotReplacesTheJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := &fake.Disk{}
		groupLog := fund(t, 10_000)
		l := open(t, folder, groupLog)
		reserve(t, l, request("settled", "one"))
		err := l.Settle(t.Context(), settle("settled", "one"))
		if err != nil {
			t.Fatal(err)
		}
		reserve(t, l, request("open", "two"))
		_ = l.Release(t.Context(), Release{Workspace: "north", Key: "late", Attempt: "gone"})
		err = l.rotate()
		if err != nil {
			t.Fatal(err)
		}
		reserve(t, l, request("after", "three"))
		synctest.Wait()
		want := l.Escrow("north")
		epoch := l.Epoch()
		folder.Crash(0)
		l.Close()
		l = open(t, folder, groupLog)
		defer l.Close()
		got := l.Escrow("north")
		if withoutGrant(got) != withoutGrant(want) || got.Granted < want.Granted || l.Epoch() != epoch {
			t.Errorf("escrow %+v in %s, want %+v in %s", l.Escrow("north"), l.Epoch(), want, epoch)
		}
		for key, outcome := range map[string]Outcome{"settled": OutcomeSettled, "open": OutcomeRunning, "after": OutcomeRunning} {
			got := reserve(t, l, request(key, "retry"))
			if got.Outcome != outcome {
				t.Errorf("%s: %s, want %s", key, got.Outcome, outcome)
			}
		}
		if reserve(t, l, request("late", "gone")).Outcome != OutcomeReleased {
			t.Error("the snapshot forgot an attempt that was given up")
		}
		time.Sleep(retention + 2*time.Hour)
		if reserve(t, l, request("settled", "new")).Outcome != OutcomeReserved {
			t.Error("the record outlived the retention")
		}
	})
}

// TestSnapshotHoldsManyBudgets has more budgets and records than one message
// may have elements.
func TestSnapshotHoldsManyBudgets(t *testing.T) {
	const count = 140_000
	folder := &fake.Disk{}
	groupLog := fund(t, 1_000)
	l := open(t, folder, groupLog)
	l.mu.Lock()
	for i := range count {
		name := fmt.Sprintf("workspace-%d", i)
		_ = l.state.apply(granted{Workspace: name, Granted: 100}, nil)
		at := now()
		r := request("key", fmt.Sprintf("attempt-%d", i))
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
	l = open(t, folder, groupLog)
	defer l.Close()
	if len(l.Bills()) != count || l.Escrow("workspace-139999").Billed != 40 {
		t.Errorf("recovered %d bills", len(l.Bills()))
	}
}
