package forward

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// reason is why a request ends without a backend server's answer. It stands in
// logs and metrics.
type reason string

const (
	reasonMalformed       reason = "malformed"
	reasonNoRoute         reason = "no_route"
	reasonUnknownKey      reason = "unknown_key"
	reasonBodyTooLarge    reason = "body_too_large"
	reasonNoConfiguration reason = "no_configuration"
	reasonBudgetExhausted reason = "budget_exhausted"
	reasonNoTokens        reason = "no_tokens_now"
	reasonBudgetReserved  reason = "budget_reserved"
	reasonLeaving         reason = "leaving"
	reasonNoServer        reason = "no_server"
	reasonServersFull     reason = "servers_full"
	reasonDeclined        reason = "declined_by_servers"
	reasonNotSent         reason = "not_sent"
	reasonOutcomeUnclear  reason = "outcome_unclear"
	reasonTimeout         reason = "timeout"
	reasonBadAnswer       reason = "bad_answer"
	reasonBrokenStream    reason = "stream_broken"
	reasonCallerLeft      reason = "caller_left"
)

// refusal is a final answer of the entry's own.
type refusal struct {
	reason reason
	status int
	// retryAfter tells when to come back; 0 means that nothing is said.
	retryAfter time.Duration
}

const (
	// retryElsewhere is short: the caller's next attempt meets another entry,
	// which may hold tokens.
	retryAfterOtherEntry = 50 * time.Millisecond

	// retryReserved is the time in which some of the requests in progress end.
	retryAfterReserved = 800 * time.Millisecond

	retryAfterSoon  = 250 * time.Millisecond
	retryAfterLater = time.Second
)

// notRun refuses a request that no backend server began.
func serviceUnavailable(cause reason, delay time.Duration) *refusal {
	return &refusal{reason: cause, status: http.StatusServiceUnavailable, retryAfter: delay}
}

// unclear ends a request that a backend server may have run.
func badGateway(cause reason) *refusal {
	return &refusal{reason: cause, status: http.StatusBadGateway}
}

// write sends the refusal; it keeps the connection.
func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(math.Ceil(r.retryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	body := string(r.reason) + "\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(body))
}
