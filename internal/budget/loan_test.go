package budget_test

import (
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
)

// TestLoansCreateNoTokens guards against loans that are counted at both escrows. It
// lends at random between draws, reservations, returns and reports: every escrow
// stays consistent, and no more tokens are spent than the total.
func TestLoansCreateNoTokens(t *testing.T) {
	const total = 100_000
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		account := &budget.Account{}
		account.SetTotal(total)
		names := []string{"a", "b", "c"}
		escrows := map[string]*budget.Escrow{"a": {}, "b": {}, "c": {}}
		reserved := map[string][]int64{}
		var spent int64
		for range 300 {
			name := names[random.IntN(len(names))]
			e := escrows[name]
			size := random.Int64N(8000)
			switch random.IntN(6) {
			case 0:
				e.Granted = account.Draw(name, e.Granted, size)
			case 1:
				if e.Reserve(size) {
					reserved[name] = append(reserved[name], size)
				}
			case 2:
				if reservations := reserved[name]; len(reservations) > 0 {
					actual := random.Int64N(reservations[0] + 1)
					e.Settle(reservations[0], actual)
					spent += actual
					reserved[name] = reservations[1:]
				}
			case 3:
				e.Return(min(size, e.Transferable()))
			case 4:
				other := names[random.IntN(len(names))]
				if other != name && random.IntN(10) > 0 {
					e.Borrow(escrows[other].Lend(size))
				}
			case 5:
				if err := account.Report(name, e.Counters()); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
			if err := e.Check(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if e.Transferable() > max(0, e.Granted-e.Returned-e.Billed) {
				t.Fatalf("seed %d: got %d transferable tokens, more than the grant of %+v", seed, e.Transferable(), e)
			}
		}
		if err := account.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if spent > total {
			t.Fatalf("seed %d: %d tokens spent, want at most %d", seed, spent, total)
		}
	}
}

// TestReportAboveGrantChangesNothing guards against an account changed by a refused
// exchange, which reports more billed tokens than were granted.
func TestReportAboveGrantChangesNothing(t *testing.T) {
	account := &budget.Account{}
	account.SetTotal(100_000)
	result, err := account.Exchange("a", budget.Counters{}, 0, budget.DrawRequest{Need: 1000})
	if err != nil || result.Granted != 1000 {
		t.Fatalf("first exchange: got %+v and error %v, want 1000 granted", result, err)
	}
	before := account.Pool
	_, err = account.Exchange("a", budget.Counters{Billed: 1001}, 1000, budget.DrawRequest{Need: 500})
	if !errors.Is(err, budget.ErrBroken) || account.Pool != before || account.Grants["a"].Counters.Billed != 0 {
		t.Errorf("got error %v and account %+v, want ErrBroken and an unchanged account", err, account)
	}
}

// TestForgottenEpochCountsAsSpent guards against unreported tokens that return to
// the budget when their epoch is forgotten, also if it is forgotten twice.
func TestForgottenEpochCountsAsSpent(t *testing.T) {
	account := &budget.Account{}
	account.SetTotal(100_000)
	_, err := account.Exchange("a", budget.Counters{}, 0, budget.DrawRequest{Need: 1000})
	if err == nil {
		_, err = account.Exchange("a", budget.Counters{Billed: 300}, 1000, budget.DrawRequest{})
	}
	if err != nil {
		t.Fatal(err)
	}
	account.Forget("a")
	account.Forget("a")
	if err := account.Check(); err != nil {
		t.Error(err)
	}
	if account.Remaining() != 98_000 || account.Billed() != 300 || account.InDoubt() != 700 {
		t.Errorf("got %d remaining, %d billed and %d in doubt, want 98000, 300 and 700", account.Remaining(), account.Billed(), account.InDoubt())
	}
}

// TestLenderPassesOnBorrowedTokens guards against tokens that are stranded at a holder that
// borrowed more than it needed, and against borrowed tokens that are billed to its grant,
// which would report more than it was granted.
func TestLenderPassesOnBorrowedTokens(t *testing.T) {
	lender := budget.Escrow{Granted: 1000, Borrowed: 700, Reserved: 200}
	if lent := lender.Lend(600); lent != 600 {
		t.Fatalf("lent %d tokens, want 600", lent)
	}
	if lender.Borrowed != 200 || lender.Billed != 100 || lender.Lent != 100 {
		t.Errorf("got %+v, want the 500 borrowed tokens without a reservation passed on, and 100 of its own billed", lender)
	}
	if lent := lender.Lend(5000); lent != 900 || lender.Available() != 0 || lender.Billed != 1000 {
		t.Errorf("lent %d tokens of %+v, want the 900 that were left", lent, lender)
	}
	lender.Settle(200, 200)
	if err := lender.Check(); err != nil || lender.Billed != 1000 {
		t.Errorf("got %+v with error %v, want no more billed than granted", lender, err)
	}
}
