package caller

import (
	"context"
	"net/http"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

// attach serves a retry by streaming the response of the same request's running
// attempt from its start. The entry that started the attempt settles it, or the
// ledger does. It returns false if nothing was sent to the caller.
func (r *chatRelay) attach(ctx context.Context, running ledger.Reservation) bool {
	server, known := r.request.document.BackendServers[running.Server]
	if !known || running.Attempt == "" {
		return false
	}
	ctx, span := r.server.Tracer.Start(ctx, "attach")
	defer span.End()
	r.attempt = &attempt{
		server:  r.server,
		request: r.request,
		id:      running.Attempt,
		lease:   &backend.Lease{Name: running.Server, Address: server.Address},
	}
	r.sink.w.Header().Set(ReplayedHeader, "true")
	err := r.resume(ctx)
	if err == nil {
		r.sink.finish(r.sink.response(r.request.work.Model))
		return true
	}
	r.attempt.log().Debug("stream of the running attempt ended early", "server", running.Server, "err", err.Error())
	if r.sink.restartable() {
		r.sink.w.Header().Del(ReplayedHeader)
		r.sink.reset()
		return false
	}
	r.sink.fail(&Refusal{Status: http.StatusBadGateway, Code: codeUnknown, Message: "the answer broke off: ask again with the same Idempotency-Key", RetryAfter: retrySoon})
	return true
}

// resume relays the attempt's stream from its start, and again after each break
// as long as the previous connection delivered new events.
func (r *chatRelay) resume(ctx context.Context) error {
	for {
		events := r.sink.events
		err := r.relayStream(ctx, r.server.Backend.Resume)
		if err == nil || !isResumable(err) || isAttemptLost(err) || r.sink.events == events || !hasRetryTime(ctx) {
			return err
		}
		sleep.For(ctx, resumePause)
	}
}
