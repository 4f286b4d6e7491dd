package ledger

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
)

// singleMemberLog is the log of a control group with one member and no disk.
type singleMemberLog struct {
	group *group.Group
}

func (s singleMemberLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	return s.group.Apply(command), nil
}

// newFundedLog returns a control group whose workspace north has the given
// tokens.
func newFundedLog(t *testing.T, tokens int64) singleMemberLog {
	t.Helper()
	s := singleMemberLog{group: group.New(nil)}
	_, err := group.Propose(t.Context(), s, group.Deposit{ID: "first", Workspace: "north", Tokens: tokens})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// openLedger opens a ledger without an AttemptQuerier.
func openLedger(t *testing.T, folder *fake.Disk, groupLog group.Log) *Ledger {
	t.Helper()
	return openLedgerWith(t, folder, groupLog, nil)
}

// openLedgerWith opens a ledger that fails the test on a violated invariant.
func openLedgerWith(t *testing.T, folder *fake.Disk, groupLog group.Log, attempts AttemptQuerier) *Ledger {
	t.Helper()
	l, err := Open(Options{
		Instance:       "control-a",
		FailureDomain:  "a",
		Folder:         folder,
		Group:          groupLog,
		AttemptQuerier: attempts,
		Log:            log.New(io.Discard),
		Check:          &invariant.Checker{Fatal: func(err error) { t.Error(err) }},
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// newReserve returns a Reserve of 100 tokens of the workspace north.
func newReserve(key, attempt string) Reserve {
	return Reserve{Workspace: "north", Key: key, BodyHash: []byte("body"), Tokens: 100, Attempt: attempt, Server: "engine-a", Entry: "entry-a/1", Repeatable: true}
}

func mustReserve(t *testing.T, l *Ledger, r Reserve) Reservation {
	t.Helper()
	got, err := l.Reserve(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// newSettle returns a Settle of 40 tokens with a response.
func newSettle(key, attempt string) Settle {
	return Settle{Workspace: "north", Key: key, Attempt: attempt, Tokens: 40, Response: Response{Status: 200, Body: []byte("whole")}}
}

// TestReserveIsIdempotentByAttempt guards against tokens that are reserved
// twice when an entry repeats a call, and against two attempts that both get
// the reservation.
func TestReserveIsIdempotentByAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := openLedger(t, &fake.Disk{}, newFundedLog(t, 1000))
		defer l.Close()
		for range 2 {
			got := mustReserve(t, l, newReserve("key", "one"))
			if got.Outcome != OutcomeReserved {
				t.Errorf("got %s, want %s", got.Outcome, OutcomeReserved)
			}
		}
		if l.Escrow("north").Reserved != 100 {
			t.Errorf("reserved %d, want 100", l.Escrow("north").Reserved)
		}
		if mustReserve(t, l, newReserve("key", "two")).Outcome != OutcomeRunning {
			t.Error("the second attempt did not get the outcome running")
		}
	})
}

// TestReleaseBeforeReserveRefusesReservation guards against a reservation that
// nobody ends: the release overtakes the delayed Reserve of the same attempt,
// and the ledger restarts in between.
func TestReleaseBeforeReserveRefusesReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := &fake.Disk{}
		groupLog := newFundedLog(t, 1000)
		l := openLedger(t, folder, groupLog)
		err := l.Release(t.Context(), Release{Workspace: "north", Key: "key", Attempt: "one"})
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		l = openLedger(t, folder, groupLog)
		defer l.Close()
		if mustReserve(t, l, newReserve("key", "one")).Outcome != OutcomeReleased {
			t.Error("the released attempt did not get the outcome released")
		}
		if mustReserve(t, l, newReserve("key", "two")).Outcome != OutcomeReserved {
			t.Error("the retry with a new attempt did not get a reservation")
		}
	})
}

// TestNothingIsAcknowledgedBeforeSync guards against acknowledging changes that
// a crash loses. It settles while the disk fails: neither the settlement nor a
// later read may be acknowledged or reported.
func TestNothingIsAcknowledgedBeforeSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := &fake.Disk{}
		groupLog := newFundedLog(t, 1000)
		l := openLedger(t, folder, groupLog)
		mustReserve(t, l, newReserve("key", "one"))
		folder.SetFailing(true)
		err := l.Settle(t.Context(), newSettle("key", "one"))
		if err == nil {
			t.Error("a settlement that is not durable was acknowledged")
		}
		err = l.Settle(t.Context(), newSettle("key", "one"))
		if err == nil {
			t.Error("a resent settlement that is not durable was acknowledged")
		}
		for _, key := range []string{"key", "new"} {
			got, err := l.Reserve(t.Context(), newReserve(key, "two"))
			if !errors.Is(err, peer.ErrUnavailable) {
				t.Errorf("key %s: got %+v and error %v after a failed sync, want ErrUnavailable", key, got, err)
			}
		}
		time.Sleep(5 * time.Second)
		account, _ := groupLog.group.Account("north")
		if account.Billed() != 0 {
			t.Errorf("a bill of %d that is not durable was reported, want 0", account.Billed())
		}
		folder.Crash(0)
		folder.SetFailing(false)
		l.Close()
		l = openLedger(t, folder, groupLog)
		defer l.Close()
		if mustReserve(t, l, newReserve("key", "two")).Outcome != OutcomeRunning {
			t.Error("the acknowledged reservation is lost after the crash, want the outcome running")
		}
	})
}

// TestFullJournalChangesNothing guards against reserved tokens without a
// journal record: it fills the queue of the journal, and only the queued
// changes may be applied.
func TestFullJournalChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := openLedger(t, &fake.Disk{}, newFundedLog(t, 10_000_000))
		defer l.Close()
		mustReserve(t, l, newReserve("first", "first"))
		l.mu.Lock()
		l.commit(granted{Workspace: "north", Granted: 10_000_000})
		var queued int64
		for i := range 3000 {
			r := newReserve("key", "one")
			r.Key += string(rune('a' + i))
			synced := l.commit(reserved{Reserve: r})
			select {
			case err := <-synced:
				if err == nil {
					queued++
				} else if !errors.Is(err, journal.ErrFull) {
					t.Errorf("append returned %v, want ErrFull", err)
				}
			default:
				queued++
			}
		}
		if l.state.account("north").Reserved != 100*(queued+1) {
			t.Errorf("reserved %d tokens for %d queued reservations, want 100 for each", l.state.account("north").Reserved, queued+1)
		}
		l.mu.Unlock()
	})
}
