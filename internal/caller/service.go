package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// serveService handles a request to a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	ctx, end := s.begin(r, "service")
	defer end()
	req, refusal := s.accept(w, r)
	if refusal != nil {
		refusal.write(w)
		return
	}
	service := chi.URLParam(r, "service")
	refusal = req.resolveRoute(service, config.KindService, r.Header)
	if refusal == nil {
		refusal = s.refuseWhenLeaving(req)
	}
	if refusal != nil {
		refusal.write(w)
		return
	}
	path := servicePath(r, service)
	req.target = r.Method + " " + path
	ctx, cancel := req.workContext(ctx)
	defer cancel()
	c := &call{dispatcher: dispatcher{server: s, request: req}, w: w}
	c.call = backend.Call{
		Method:      r.Method,
		Path:        path,
		ContentType: r.Header.Get("Content-Type"),
		Body:        req.body,
		Once:        !req.repeatable,
	}
	c.serve(ctx, w, req.work.CallTokens, c.dispatch)
}

// servicePath returns the path and query for the service, without the
// /services/NAME prefix.
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

// callAttemptTimeout bounds one dispatch of a repeatable call that may be retried.
const callAttemptTimeout = 5 * time.Second

// call sends a request to a plain service and relays the response to the caller.
type call struct {
	dispatcher
	w    http.ResponseWriter
	call backend.Call
}

// dispatch makes the call and responds to the caller. It returns a refusal if
// nothing was sent to the backend server.
func (c *call) dispatch(ctx context.Context) *Refusal {
	spanCtx, span := c.attempt.span(ctx, "dispatch")
	defer span.End()
	c.attempt.lease.Result.Sent = true
	result, err := c.sendOnce(spanCtx)
	mayHaveRun := !upstream.IsNotSent(err)
	for err != nil && mayHaveRun && c.failOver(ctx) {
		result, err = c.sendOnce(spanCtx)
	}
	if !mayHaveRun {
		return c.attempt.refuse(ctx, err)
	}
	c.finish(ctx, result, err)
	return nil
}

// sendOnce sends the call to the leased backend server. The timeout of a
// repeatable call leaves time for a retry.
func (c *call) sendOnce(ctx context.Context) (backend.Response, error) {
	deadline, bounded := ctx.Deadline()
	if bounded && c.request.repeatable && c.failed < maxDispatches-1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(callAttemptTimeout, time.Until(deadline)/2))
		defer cancel()
	}
	c.call.Address = c.attempt.lease.Address
	c.call.Attempt = c.attempt.id
	c.call.IdempotencyKey = c.attempt.key
	err := c.attempt.markDispatched()
	if err != nil {
		return backend.Response{}, err
	}
	return c.server.Backend.Do(ctx, c.call)
}

// failOver moves a repeatable call to another backend server. It reports whether there
// is a new lease to send the call with.
func (c *call) failOver(ctx context.Context) bool {
	if !c.request.repeatable {
		return false
	}
	lease := c.nextLease(ctx)
	if lease == nil {
		return false
	}
	c.moveTo(lease)
	return true
}

// finish settles the attempt and responds to the caller. A call with an unknown
// outcome is billed with the whole reservation.
func (c *call) finish(ctx context.Context, result backend.Response, err error) {
	if err != nil {
		c.attempt.lease.Result.Failed = ctx.Err() == nil
		c.attempt.log().Warn("call failed, its outcome is unknown", "server", c.attempt.lease.Name, "err", err.Error())
		_ = c.attempt.settle(ctx, c.attempt.tokens, ledger.Response{})
		unknownOutcome().write(c.w)
		return
	}
	response := ledger.Response{Status: result.Status, ContentType: result.ContentType, Body: result.Body}
	err = c.attempt.settle(ctx, c.attempt.tokens, response)
	if err != nil {
		unknownOutcome().write(c.w)
		return
	}
	writeResponse(c.w, response)
}
