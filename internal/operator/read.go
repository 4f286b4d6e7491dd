package operator

import (
	"context"
	"net/http"
	"time"
)

const (
	// readHeader states whether a response is linearizable or reflects only the
	// state of this instance, which may be out of date.
	readHeader       = "Cactusbay-Read"
	readLinearizable = "linearizable"
	readLocal        = "local"

	// statusReadTimeout bounds how long a status request waits for a majority.
	statusReadTimeout = time.Second
)

// requireLinearizable is a middleware that makes reads linearizable: it calls next
// once a majority has confirmed that this instance has applied all committed
// commands. A query with local=true skips the confirmation.
func (s *Server) requireLinearizable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("local") == "true" {
			w.Header().Set(readHeader, readLocal)
			next.ServeHTTP(w, r)
			return
		}
		err := s.Quorum.Barrier(r.Context())
		if err != nil {
			s.Logger.Warn("cannot confirm an operator's read at a majority; retry it or read with local=true", "err", err.Error())
			w.Header().Set("Retry-After", "1")
			writeJSON(w, http.StatusServiceUnavailable, problem{Code: "unavailable", Message: "no majority of the control group answers: retry, or ask with local=true for what this instance knows"})
			return
		}
		w.Header().Set(readHeader, readLinearizable)
		next.ServeHTTP(w, r)
	})
}

// isConfirmed reports whether a majority confirms, within statusReadTimeout, that
// this instance has applied all committed commands.
func (s *Server) isConfirmed(r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), statusReadTimeout)
	defer cancel()
	return s.Quorum.Barrier(ctx) == nil
}
