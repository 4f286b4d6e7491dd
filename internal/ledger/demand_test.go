package ledger

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/group"
)

// TestConcurrentReservationsSucceedWithinBudget guards against requests that
// are refused for lack of tokens because their draws run at the same time,
// although the pool has enough.
func TestConcurrentReservationsSucceedWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := openLedger(t, &fake.Disk{}, newFundedLog(t, 1_000_000))
		defer l.Close()
		var callers sync.WaitGroup
		for i := range 64 {
			callers.Go(func() {
				got := mustReserve(t, l, newReserve(fmt.Sprint("key-", i), fmt.Sprint("attempt-", i)))
				if got.Outcome != OutcomeReserved {
					t.Errorf("outcome of request %d is %s although the budget suffices, want reserved", i, got.Outcome)
				}
			})
		}
		callers.Wait()
	})
}

// TestReservationWaitsForASettlement guards against a request that is refused
// while an open reservation is about to free the tokens that it needs.
func TestReservationWaitsForASettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := openLedger(t, &fake.Disk{}, newFundedLog(t, 150))
		defer l.Close()
		mustReserve(t, l, newReserve("first", "one"))
		timer := time.AfterFunc(time.Second, func() { _ = l.Settle(t.Context(), newSettle("first", "one")) })
		defer timer.Stop()
		got := mustReserve(t, l, newReserve("second", "two"))
		if got.Outcome != OutcomeReserved {
			t.Errorf("got %s, want %s after the settlement freed 60 tokens", got.Outcome, OutcomeReserved)
		}
	})
}

// TestLedgerReturnsTokensAboveItsTarget guards against a ledger that keeps
// tokens which a ledger with more demand needs.
func TestLedgerReturnsTokensAboveItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		funded := newFundedLog(t, 1_000_000)
		l := openLedger(t, &fake.Disk{}, funded)
		defer l.Close()
		mustReserve(t, l, newReserve("key", "one"))
		_ = l.Settle(t.Context(), newSettle("key", "one"))
		time.Sleep(2 * targetRefreshInterval)
		availableAlone := l.Escrow("north").Available()
		if availableAlone < 800_000 {
			t.Fatalf("the only ledger holds %d of 1000000 tokens, want at least 800000", availableAlone)
		}
		other := group.Draw{Epoch: "other", Workspace: "north", UpToTarget: true, Demand: 10_000}
		for _, command := range []group.Command{group.OpenEpoch{Epoch: "other"}, other} {
			_, err := group.Propose(t.Context(), funded, command)
			if err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * targetRefreshInterval)
		availableBesideOther := l.Escrow("north").Available()
		if availableBesideOther >= availableAlone/2 {
			t.Errorf("the ledger holds %d tokens beside a ledger with more demand, want less than half of what it held alone", availableBesideOther)
		}
		account, _ := funded.group.Account("north")
		if account.Pool < availableAlone/2 {
			t.Errorf("pool holds %d tokens after the ledger returned idle ones, want at least half of what the ledger held alone", account.Pool)
		}
	})
}

// TestDepositOfAFailureDomainCountsOnce guards against a deposit that is
// counted twice when the operator repeats it, also after a restart of the
// ledger.
func TestDepositOfAFailureDomainCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &fake.Disk{}
		funded := newFundedLog(t, 100)
		l := openLedger(t, disk, funded)
		deposit := Deposit{ID: "top-up", Workspace: "north", Tokens: 500}
		for range 2 {
			err := l.Deposit(t.Context(), deposit)
			if err != nil {
				t.Fatal(err)
			}
		}
		deposit.Tokens = 600
		err := l.Deposit(t.Context(), deposit)
		if !errors.Is(err, ErrDepositIDReused) {
			t.Errorf("another deposit with the same id returned %v, want ErrDepositIDReused", err)
		}
		l.Close()
		l = openLedger(t, disk, funded)
		defer l.Close()
		deposit.Tokens = 500
		err = l.Deposit(t.Context(), deposit)
		if err != nil {
			t.Fatal(err)
		}
		if l.Escrow("north").Deposited != 500 {
			t.Errorf("deposited %d, want 500", l.Escrow("north").Deposited)
		}
		time.Sleep(2 * reportInterval)
		account, _ := funded.group.Account("north")
		if account.Deposited != 600 {
			t.Errorf("the control group counts %d deposited tokens, want 600", account.Deposited)
		}
	})
}
