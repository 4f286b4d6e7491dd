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
func (d *delivery) attach(ctx context.Context, running ledger.Reservation) bool {
	server, known := d.accepted.document.BackendServers[running.Server]
	if !known || running.Attempt == "" {
		return false
	}
	ctx, span := d.server.Tracer.Start(ctx, "attach")
	defer span.End()
	d.run = &run{
		server:   d.server,
		accepted: d.accepted,
		attempt:  running.Attempt,
		lease:    &backend.Lease{Name: running.Server, Address: server.Address},
	}
	d.sink.w.Header().Set(ReplayedHeader, "true")
	err := d.resume(ctx)
	if err == nil {
		d.sink.finish(d.sink.answer(d.accepted.work.Model))
		return true
	}
	d.run.log().Debug("running attempt was not followed to its end", "server", running.Server, "err", err.Error())
	if d.sink.restartable() {
		d.sink.w.Header().Del(ReplayedHeader)
		d.sink.reset()
		return false
	}
	d.sink.fail(&Refusal{Status: http.StatusBadGateway, Code: codeUnknown, Message: "the answer broke off: ask again with the same Idempotency-Key", RetryAfter: retrySoon})
	return true
}

// resume follows the attempt's stream, again after each break that brought
// something.
func (d *delivery) resume(ctx context.Context) error {
	for {
		events := d.sink.events
		err := d.follow(ctx, d.server.Backend.Resume)
		if err == nil || !isBroken(err) || isGone(err) || d.sink.events == events || !hasTime(ctx) {
			return err
		}
		sleep.For(ctx, resumePause)
	}
}
