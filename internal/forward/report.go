package forward

import (
	"time"
)

// report logs and counts how a request ended.
func (t *task) report(refused *refusal) {
	s := t.server
	took := time.Since(t.start)
	route := ""
	if t.route != nil {
		route = t.route.Name
	}
	if refused == nil {
		s.Scope.Counter("forward_served").Inc(1)
		s.Scope.Timer("forward_first_byte").Record(t.firstByte)
		return
	}
	s.Scope.Counter("forward_" + string(refused.reason)).Inc(1)
	if t.request == nil {
		return
	}
	s.Log.Info("request ended without a whole answer",
		"request", t.request.AttemptID,
		"route", route,
		"reason", string(refused.reason),
		"status", refused.status,
		"retry_after_ms", refused.retryAfter.Milliseconds(),
		"upstream", t.upstream,
		"server", t.lastServer,
		"tried", len(t.tried),
		"may_have_run", t.mayHaveRun,
		"events", t.events,
		"took_ms", took.Milliseconds(),
		"configuration", t.table.Version,
	)
}
