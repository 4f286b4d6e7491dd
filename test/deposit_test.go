package test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/pkg/operator"
)

// TestDepositReachesACutOffDomainOnce guards against a deposit that is lost or
// counted twice when it is made, and repeated, at the control instance of a
// failure domain that is cut off: the domain must serve from it at once, and the
// control group must count it once after the cut.
func TestDepositReachesACutOffDomainOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const first, topUp = 1000, 50_000
		s := newSite(t, first, "a", "b", "c")
		defer s.close()
		s.cutDomain("c")
		time.Sleep(reportTime)
		deposit := operator.Deposit{ID: "top-up", Workspace: siteWorkspace, Tokens: topUp, FailureDomain: "c"}
		there, elsewhere := s.operatorAt("c"), s.operatorAt("a")
		defer there.HTTP.CloseIdleConnections()
		defer elsewhere.HTTP.CloseIdleConnections()
		for range 2 {
			_, err := there.Deposit(t.Context(), deposit)
			if err != nil {
				t.Fatal(err)
			}
		}
		_, err := elsewhere.Deposit(t.Context(), deposit)
		var problem *operator.Problem
		if !errors.As(err, &problem) || problem.Status != http.StatusConflict {
			t.Errorf("deposit at another domain's control instance: got %v, want status 409", err)
		}
		got := s.chat("c", "", 2000)
		if got.status != http.StatusOK {
			t.Errorf("got response %+v from the domain that is cut off, want status 200", got)
		}
		s.healDomain("c")
		time.Sleep(10 * reportTime)
		account, _ := s.controls["a"].Group.Account(siteWorkspace)
		if account.Deposited != first+topUp {
			t.Errorf("the control group counts %d deposited tokens, want %d", account.Deposited, first+topUp)
		}
	})
}
