package operator

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/peer"
)

// depositInLedger accepts a deposit for this instance's failure domain, also while
// the domain cannot reach the control group. Only the ledger of that domain may
// accept it, so status 409 rejects a deposit for another domain.
func (s *Server) depositInLedger(w http.ResponseWriter, r *http.Request, body depositBody) {
	if body.FailureDomain != s.Ledger.FailureDomain() {
		message := "only a control instance of failure domain " + body.FailureDomain + " accepts this deposit: send it there"
		writeJSON(w, http.StatusConflict, problem{Code: "other_failure_domain", Message: message})
		return
	}
	err := s.Ledger.Deposit(r.Context(), ledger.Deposit{ID: body.ID, Workspace: body.Workspace, Tokens: body.Tokens})
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, group.Result{Code: group.CodeDone, Tokens: body.Tokens})
	case errors.Is(err, ledger.ErrDepositIDReused):
		writeJSON(w, http.StatusUnprocessableEntity, problem{Code: string(group.CodeIDReused), Message: err.Error()})
	case errors.Is(err, peer.ErrInvalid):
		writeJSON(w, http.StatusUnprocessableEntity, problem{Code: string(group.CodeInvalid), Message: err.Error()})
	default:
		s.Logger.Warn("cannot journal a deposit; send it again with the same id", "err", err.Error())
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, problem{Code: "unavailable", Message: "the ledger did not answer: send the same id again"})
	}
}
