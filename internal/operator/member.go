package operator

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/cactusbay/cactusbay/internal/peer"
)

type memberBody struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// serveMembers responds with the state of the control group as this instance knows it,
// which may be out of date.
func (s *Server) serveMembers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Quorum.Status())
}

func (s *Server) serveAddMember(w http.ResponseWriter, r *http.Request) {
	var body memberBody
	if !readJSON(w, r, &body) {
		return
	}
	s.writeMemberChange(w, s.Quorum.AddMember(r.Context(), body.ID, body.Address))
}

func (s *Server) serveRemoveMember(w http.ResponseWriter, r *http.Request) {
	s.writeMemberChange(w, s.Quorum.RemoveMember(r.Context(), chi.URLParam(r, "id")))
}

// writeMemberChange writes the response to a change of the control group's members,
// which had the result err.
func (s *Server) writeMemberChange(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, s.Quorum.Status())
	case errors.Is(err, peer.ErrInvalid):
		writeJSON(w, http.StatusUnprocessableEntity, problem{Code: "invalid", Message: err.Error()})
	default:
		s.Logger.Warn("cannot confirm a change of the control group's members; check the group's status and send it again", "err", err.Error())
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, problem{Code: "unavailable", Message: "the control group did not confirm the change: look at its status and send the same again"})
	}
}
