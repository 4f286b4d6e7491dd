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

// singleMemberLog is a group of one member without a disk.
type singleMemberLog struct {
	group *group.Group
}

func (s singleMemberLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	return s.group.Apply(command), nil
}

func newFundedLog(t *testing.T, tokens int64) singleMemberLog {
	t.Helper()
	s := singleMemberLog{group: group.New(nil)}
	_, err := group.Propose(t.Context(), s, group.Deposit{ID: "first", Workspace: "north", Tokens: tokens})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func openLedger(t *testing.T, folder *fake.Disk, groupLog group.Log) *Ledger {
	t.Helper()
	return openLedgerWith(t, folder, groupLog, nil)
}

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

func newSettle(key, attempt string) Settle {
	return Settle{Workspace: "north", Key: key, Attempt: attempt, Tokens: 40, Response: Response{Status: 200, Body: []byte("whole")}}
}

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
			t.Error("a second attempt got the reservation")
		}
	})
}

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
			t.Error("a released attempt got a reservation")
		}
		if mustReserve(t, l, newReserve("key", "two")).Outcome != OutcomeReserved {
			t.Error("the retry got no reservation")
		}
	})
}

// TestNothingIsAcknowledgedBeforeSync settles while the disk fails: neither the
// settlement nor a later read may be acknowledged.
func TestNothingIsAcknowledgedBeforeSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := &fake.Disk{}
		groupLog := newFundedLog(t, 1000)
		l := openLedger(t, folder, groupLog)
		mustReserve(t, l, newReserve("key", "one"))
		folder.SetFailing(true)
		err := l.Settle(t.Context(), newSettle("key", "one"))
		if err == nil {
			t.Error("a settlement was acknowledged that is not durable")
		}
		err = l.Settle(t.Context(), newSettle("key", "one"))
		if err == nil {
			t.Error("a resent settlement was acknowledged that is not durable")
		}
		for _, key := range []string{"key", "new"} {
			got, err := l.Reserve(t.Context(), newReserve(key, "two"))
			if !errors.Is(err, peer.ErrUnavailable) {
				t.Errorf("key %s: got %+v, %v after a failed sync", key, got, err)
			}
		}
		time.Sleep(5 * time.Second)
		account, _ := groupLog.group.Account("north")
		if account.Billed() != 0 {
			t.Errorf("a bill of %d was reported that is not durable", account.Billed())
		}
		folder.Crash(0)
		folder.SetFailing(false)
		l.Close()
		l = openLedger(t, folder, groupLog)
		defer l.Close()
		if mustReserve(t, l, newReserve("key", "two")).Outcome != OutcomeRunning {
			t.Error("the acknowledged reservation was lost")
		}
	})
}

// TestFullJournalChangesNothing fills the ring of waiting appends in one step.
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
					t.Errorf("append: %v", err)
				}
			default:
				queued++
			}
		}
		if l.state.account("north").Reserved != 100*(queued+1) {
			t.Errorf("reserved %d tokens for %d queued appends", l.state.account("north").Reserved, queued+1)
		}
		l.mu.Unlock()
	})
}
