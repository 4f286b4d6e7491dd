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

// serveMembers returns what this instance knows of the control group.
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

func (s *Server) writeMemberChange(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, s.Quorum.Status())
	case errors.Is(err, peer.ErrInvalid):
		writeJSON(w, http.StatusUnprocessableEntity, problem{Code: "invalid", Message: err.Error()})
	default:
		s.Logger.Warn("control group's members were not changed", "err", err.Error())
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, problem{Code: "unavailable", Message: "the control group did not confirm the change: look at its status and send the same again"})
	}
}
