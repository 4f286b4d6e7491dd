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
	if refused.reason == reasonBudget || refused.reason == reasonNoTokens {
		t.reportBalance(refused)
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

// reportBalance logs a refusal for want of tokens with the numbers behind it.
func (t *task) reportBalance(refused *refusal) {
	balance := t.server.Holder.Balance(t.workspace.Name)
	t.server.Log.Info("request refused for want of tokens",
		"request", t.request.AttemptID,
		"route", t.route.Name,
		"reason", string(refused.reason),
		"status", refused.status,
		"workspace", t.workspace.Name,
		"needed", t.request.Prompt.Tokens+t.request.Prompt.Output,
		"granted", balance.Granted,
		"available", balance.Available,
		"reserved", balance.Reserved,
		"billed", balance.Billed,
		"target", balance.Target,
		"left", balance.Left,
		"took_ms", time.Since(t.start).Milliseconds(),
		"configuration", t.table.Version,
	)
}
