package forward

import (
	"strconv"
	"strings"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

// report logs how a request ended and records it in the metrics. A nil refusal
// means that the caller received a complete response.
func (t *task) report(refused *refusal) {
	s := t.server
	s.Scope.Timer("request_time").Record(time.Since(t.start))
	if refused == nil {
		s.Scope.Counter("requests_served").Inc(1)
		s.Scope.Timer("request_first_byte").Record(t.timeToFirstByte)
		s.Log.Info("request served", append(t.fields(), "status", t.status, "first_byte_ms", t.timeToFirstByte.Milliseconds())...)
		return
	}
	s.Scope.Tagged(map[string]string{"reason": string(refused.reason)}).Counter("requests_ended").Inc(1)
	if t.responseStarted {
		s.Scope.Tagged(map[string]string{"reason": string(refused.reason)}).Counter("responses_cut").Inc(1)
	}
	if t.request == nil {
		s.Log.Info("request refused unread", "reason", string(refused.reason), "status", refused.status)
		return
	}
	fields := append(t.fields(), "reason", string(refused.reason), "status", refused.status, "retry_after_ms", refused.retryAfter.Milliseconds())
	switch refused.reason {
	case reasonBudgetExhausted, reasonNoTokens, reasonBudgetReserved:
		s.Log.Info("request refused for want of tokens", append(fields, t.balance()...)...)
		return
	}
	s.Log.Info("request ended without a whole answer", fields...)
}

// fields returns the log fields that the final log line of every request has.
func (t *task) fields() []any {
	fields := []any{
		"request", t.request.AttemptID,
		"route", "",
		"workspace", t.workspaceName(),
		"upstream", t.upstream,
		"server", t.lastServer,
		"version", t.lastVersion,
		"continues", t.request.ContinuedAttempt,
		"after_event", t.request.LastEventID,
		"begun_at", t.version.Version,
		"tried", len(t.tried),
		"may_have_run", t.mayHaveRun,
		"events", t.events,
		"request_bytes", t.request.Body.Len(),
		"answer_bytes", t.responseBytes,
		"took_ms", time.Since(t.start).Milliseconds(),
		"configuration", t.table.Version,
		"list_age_ms", t.server.listAge().Milliseconds(),
	}
	if t.route != nil {
		fields[3] = t.route.Name
	}
	plan := t.server.drain.Plan()
	if plan != nil {
		fields = append(fields, "taken_after_signal_ms", t.start.Sub(plan.Start).Milliseconds())
	}
	return fields
}

// balance returns the log fields that explain a refusal for lack of tokens: the
// tokens needed and the state of the workspace's grant.
func (t *task) balance() []any {
	balance := t.server.Holder.Balance(t.workspace.Name)
	return []any{
		"needed", t.request.Prompt.Tokens + t.request.Prompt.Output,
		"granted", balance.Granted,
		"available", balance.Available,
		"reserved", balance.Reserved,
		"billed", balance.Billed,
		"target", balance.Target,
		"left", balance.Remaining,
		"exchange_age_ms", balance.Age.Milliseconds(),
	}
}

// reportFailedAttempt logs an attempt that did not complete the caller's
// response, and whether another attempt follows.
func (t *task) reportFailedAttempt(placement *place.Placement, outcome string, cause string, retried bool) {
	t.server.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("attempts_failed").Inc(1)
	decision, notRepeated := "end", t.notRepeated
	if retried {
		decision, notRepeated = "repeat", ""
		t.server.Scope.Counter("attempts_repeated").Inc(1)
	}
	t.server.Log.Info("attempt failed",
		"request", t.request.AttemptID,
		"server", placement.ID,
		"address", placement.Address,
		"version", placement.Version,
		"outcome", outcome,
		"cause", cause,
		"may_have_run", t.mayHaveRun,
		"last_event", t.lastEventID,
		"request_digest", strconv.FormatUint(t.digest(), 16),
		"prompt_segments", t.segmentIDs(),
		"decision", decision,
		"not_repeated", string(notRepeated),
		"silent_ms", time.Since(t.lastReceived).Milliseconds(),
		"took_ms", time.Since(t.start).Milliseconds(),
	)
}

// segmentIDs returns the hexadecimal ids of the segments that the request's prompt shares
// with others, separated by commas.
func (t *task) segmentIDs() string {
	if t.request.Prompt == nil {
		return ""
	}
	ids := make([]string, len(t.request.Prompt.Prefix))
	for i, segment := range t.request.Prompt.Prefix {
		ids[i] = strconv.FormatUint(segment.ID, 16)
	}
	return strings.Join(ids, ",")
}

// reportSilence logs that a silent server has kept its request. The obstacle is what
// kept another server from taking over, if the silence lasted long enough to ask.
func (t *task) reportSilence(obstacle denial) {
	t.server.Log.Info("silent backend server kept its request",
		"request", t.request.AttemptID,
		"server", t.lastServer,
		"last_event", t.lastEventID,
		"not_repeated", string(obstacle),
		"silent_ms", time.Since(t.lastReceived).Milliseconds(),
	)
}
