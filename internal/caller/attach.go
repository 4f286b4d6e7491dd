package caller

import (
	"context"
	"net/http"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

// attach serves a retry from the running attempt of the same request: the
// engine streams its answer from the start. The bill stays with the ledger and
// the attempt's own entry. It returns false when the caller got nothing.
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
	r.attempt.log().Debug("running attempt was not followed to its end", "server", running.Server, "err", err.Error())
	if r.sink.restartable() {
		r.sink.w.Header().Del(ReplayedHeader)
		r.sink.reset()
		return false
	}
	r.sink.fail(&Refusal{Status: http.StatusBadGateway, Code: codeUnknown, Message: "the answer broke off: ask again with the same Idempotency-Key", RetryAfter: retrySoon})
	return true
}

// resume follows the attempt's stream, again after each break that brought
// something.
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
