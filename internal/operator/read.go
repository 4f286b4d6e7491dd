package operator

import (
	"context"
	"net/http"
	"time"
)

const (
	// readHeader tells whether an answer is linearizable or only what this
	// instance knows.
	readHeader       = "Cactusbay-Read"
	readLinearizable = "linearizable"
	readLocal        = "local"

	// statusReadTimeout bounds how long a status waits for a majority.
	statusReadTimeout = time.Second
)

// requireLinearizable answers a read only after a majority has confirmed that nothing
// newer is committed, unless the query says local=true.
func (s *Server) requireLinearizable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("local") == "true" {
			w.Header().Set(readHeader, readLocal)
			next.ServeHTTP(w, r)
			return
		}
		err := s.Quorum.Barrier(r.Context())
		if err != nil {
			s.Logger.Warn("operator's read was not confirmed by a majority", "err", err.Error())
			w.Header().Set("Retry-After", "1")
			writeJSON(w, http.StatusServiceUnavailable, problem{Code: "unavailable", Message: "no majority of the control group answers: retry, or ask with local=true for what this instance knows"})
			return
		}
		w.Header().Set(readHeader, readLinearizable)
		next.ServeHTTP(w, r)
	})
}

// isConfirmed tells whether a majority confirms what this instance knows.
func (s *Server) isConfirmed(r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), statusReadTimeout)
	defer cancel()
	return s.Quorum.Barrier(ctx) == nil
}
