package caller

import (
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/ledger"
)

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	ctx, end := s.begin(r, "service")
	defer end()
	a, refusal := s.accept(w, r)
	if refusal != nil {
		refusal.write(w)
		return
	}
	service := chi.URLParam(r, "service")
	refusal = a.routeTo(service, config.KindService, r.Header)
	if refusal != nil {
		refusal.write(w)
		return
	}
	path := servicePath(r, service)
	a.target = r.Method + " " + path
	ctx, cancel := context.WithTimeout(ctx, a.work.DeadlineOr())
	defer cancel()
	run, kept, refusal := s.start(ctx, a, a.work.CallTokens)
	if refusal != nil {
		refusal.write(w)
		return
	}
	if kept != nil {
		replayAnswer(w, *kept)
		return
	}
	defer run.lease.Release()
	s.dispatchCall(ctx, w, run, backend.Call{
		Method:      r.Method,
		Path:        path,
		ContentType: r.Header.Get("Content-Type"),
		Body:        a.body,
	})
}

func servicePath(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+service)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func (s *Server) dispatchCall(ctx context.Context, w http.ResponseWriter, run *run, call backend.Call) {
	dispatchCtx, span := run.span(ctx, "dispatch")
	defer span.End()
	call.Address = run.lease.Address
	call.Attempt = run.attempt
	call.IdempotencyKey = run.key
	run.dispatched = true
	result, err := s.Backend.Do(dispatchCtx, call)
	if errors.Is(err, backend.ErrNotSent) {
		run.refuseDispatch(ctx, err).write(w)
		return
	}
	if err != nil {
		s.Log.Warn("call failed with an unclear outcome", "server", run.lease.Name, "err", err)
		_ = run.settle(ctx, run.tokens, ledger.Answer{})
		unknownOutcome().write(w)
		return
	}
	answer := ledger.Answer{Status: result.Status, ContentType: result.ContentType, Body: result.Body}
	err = run.settle(ctx, run.tokens, answer)
	if err != nil {
		unknownOutcome().write(w)
		return
	}
	writeAnswer(w, answer)
}
