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
	defer req.release()
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
	ctx, cancel := s.workContext(ctx, req)
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

// slowCallTime is how long a repeatable call runs before another server is sought.
const slowCallTime = 5 * time.Second

// call sends a request to a plain service and relays the response to the caller.
type call struct {
	dispatcher
	w    http.ResponseWriter
	call backend.Call
	// next is the lease of the server that takes over, if a dispatch was ended for it.
	next *backend.Lease
}

// dispatch makes the call and responds to the caller. It returns a refusal if
// nothing was sent to the backend server.
func (c *call) dispatch(ctx context.Context) *Refusal {
	spanCtx, span := c.attempt.span(ctx, "dispatch")
	defer span.End()
	c.attempt.lease.Result.Sent = true
	result, err := c.sendOnce(spanCtx)
	mayHaveRun := !upstream.IsNotSent(err)
	for err != nil && mayHaveRun && c.failOver(ctx, err) {
		result, err = c.sendOnce(spanCtx)
	}
	if !mayHaveRun {
		return c.attempt.refuse(ctx, err)
	}
	c.finish(ctx, result, err)
	return nil
}

// sendOnce sends the call to the leased backend server.
func (c *call) sendOnce(ctx context.Context) (backend.Response, error) {
	c.call.Address = c.attempt.lease.Address
	c.call.Attempt = c.attempt.id
	c.call.IdempotencyKey = c.attempt.key
	err := c.attempt.markDispatched()
	if err != nil {
		return backend.Response{}, err
	}
	deadline, bounded := ctx.Deadline()
	if !bounded || !c.request.repeatable || c.failed >= maxDispatches-1 {
		return c.server.Backend.Do(ctx, c.call)
	}
	return c.sendSeekingSuccessor(ctx, deadline)
}

// sendSeekingSuccessor sends the call. If it runs for long, another server is sought, and
// the call ends once there is one. The delay leaves time for a retry.
func (c *call) sendSeekingSuccessor(ctx context.Context, deadline time.Time) (backend.Response, error) {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	delay := min(slowCallTime, time.Until(deadline)/2)
	successor := c.seekSuccessor(ctx, delay, deadline, cancel)
	result, err := c.server.Backend.Do(sendCtx, c.call)
	lease := successor.stop()
	if err == nil || upstream.IsNotSent(err) || ctx.Err() != nil {
		if lease != nil {
			lease.Release()
		}
		return result, err
	}
	c.next = lease
	return result, err
}

// failOver moves a repeatable call, which failed with err, to another backend server. It
// reports whether there is a new lease to send the call with.
func (c *call) failOver(ctx context.Context, err error) bool {
	if !c.request.repeatable {
		return false
	}
	lease := c.takeNext(ctx)
	if lease == nil {
		return false
	}
	c.moveTo(lease, err)
	return true
}

// takeNext returns the lease of the successor or, if there is none, a new one. It
// returns nil if all servers are busy or no retry is allowed.
func (c *call) takeNext(ctx context.Context) *backend.Lease {
	lease := c.next
	if lease == nil {
		return c.nextLease(ctx)
	}
	c.next = nil
	c.recordFailure()
	return lease
}

// finish settles the attempt and responds to the caller. A call with an unknown
// outcome is billed with the whole reservation; its answer does not wait for the ledger,
// because the connection may soon be closed by the end of a shutdown.
func (c *call) finish(ctx context.Context, result backend.Response, err error) {
	if err != nil {
		c.attempt.lease.Result.Failed = ctx.Err() == nil
		c.attempt.log().Warn("call failed, its outcome is unknown", "server", c.attempt.lease.Name, "err", err.Error())
		unknownOutcome().write(c.w)
		_ = http.NewResponseController(c.w).Flush()
		_ = c.attempt.settle(ctx, c.attempt.tokens, ledger.Response{})
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
