package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

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
	ctx, cancel := a.bound(ctx)
	defer cancel()
	c := &call{server: s, accepted: a, w: w, tried: make(map[string]bool)}
	c.call = backend.Call{
		Method:      r.Method,
		Path:        path,
		ContentType: r.Header.Get("Content-Type"),
		Body:        a.body,
	}
	c.serve(ctx)
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

// callTryTimeout ends one try of a call that may be repeated.
const callTryTimeout = 5 * time.Second

// call brings one plain service's answer to its caller.
type call struct {
	server   *Server
	accepted *accepted
	w        http.ResponseWriter
	call     backend.Call
	run      *run
	tried    map[string]bool
	// dispatches counts the tries that ended without an answer.
	dispatches int
}

// serve makes the call, at another backend server when nothing was sent.
func (c *call) serve(ctx context.Context) {
	for {
		run, kept, refusal := c.server.start(ctx, c.accepted, c.accepted.work.CallTokens, c.tried)
		if refusal != nil {
			refusal.write(c.w)
			return
		}
		if kept != nil {
			replayAnswer(c.w, *kept)
			return
		}
		c.run = run
		refusal = c.dispatch(ctx)
		c.run.lease.Release()
		if refusal == nil {
			return
		}
		if !c.retries(ctx) {
			refusal.write(c.w)
			return
		}
	}
}

func (c *call) retries(ctx context.Context) bool {
	c.tried[c.run.lease.Name] = true
	c.dispatches++
	return c.dispatches < maxDispatches && hasTime(ctx) && c.server.Pool.Retry()
}

// dispatch makes the call and answers the caller, or returns the refusal when
// nothing was sent.
func (c *call) dispatch(ctx context.Context) *Refusal {
	spanCtx, span := c.run.span(ctx, "dispatch")
	defer span.End()
	c.run.lease.Result.Sent = true
	result, err := c.do(spanCtx)
	sent := !errors.Is(err, backend.ErrNotSent)
	for err != nil && sent && c.restarts(ctx) {
		result, err = c.do(spanCtx)
	}
	if !sent {
		return c.run.refuse(ctx, err)
	}
	c.finish(ctx, result, err)
	return nil
}

// do makes one call; one that may be repeated leaves time for another try.
func (c *call) do(ctx context.Context) (backend.Answer, error) {
	deadline, bounded := ctx.Deadline()
	if bounded && c.accepted.repeatable && c.dispatches < maxDispatches-1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(callTryTimeout, time.Until(deadline)/2))
		defer cancel()
	}
	c.call.Address = c.run.lease.Address
	c.call.Attempt = c.run.attempt
	c.call.IdempotencyKey = c.run.key
	err := c.run.mark()
	if err != nil {
		return backend.Answer{}, err
	}
	return c.server.Backend.Do(ctx, c.call)
}

// restarts moves a repeatable call to another backend server. The reservation
// stays, so that the request is billed once.
func (c *call) restarts(ctx context.Context) bool {
	if !c.accepted.repeatable || !c.retries(ctx) {
		return false
	}
	lease, busy := c.server.acquire(ctx, c.accepted, c.run.tokens, c.tried)
	if busy != nil {
		lease, busy = c.server.acquire(ctx, c.accepted, c.run.tokens, nil)
	}
	if busy != nil {
		return false
	}
	c.run.lease.Result.Failed = true
	c.run.lease.Release()
	lease.Result.Sent = true
	c.run.lease = lease
	return true
}

func (c *call) finish(ctx context.Context, result backend.Answer, err error) {
	if err != nil {
		c.run.lease.Result.Failed = ctx.Err() == nil
		c.run.log().Warn("call failed with an unclear outcome", "server", c.run.lease.Name, "err", err.Error())
		_ = c.run.settle(ctx, c.run.tokens, ledger.Response{})
		unknownOutcome().write(c.w)
		return
	}
	answer := ledger.Response{Status: result.Status, ContentType: result.ContentType, Body: result.Body}
	err = c.run.settle(ctx, c.run.tokens, answer)
	if err != nil {
		unknownOutcome().write(c.w)
		return
	}
	writeAnswer(c.w, answer)
}
