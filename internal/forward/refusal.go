package forward

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cactusbay/cactusbay/internal/overload"
)

// reason names why a request ends without a complete response of a backend
// server. It appears in logs, metrics and the body of the error response.
type reason string

const (
	reasonMalformed       reason = "malformed"
	reasonNoRoute         reason = "no_route"
	reasonUnknownKey      reason = "unknown_key"
	reasonBodyTooLarge    reason = "body_too_large"
	reasonBodyTimeout     reason = "body_timeout"
	reasonNoConfiguration reason = "no_configuration"
	reasonBudgetExhausted reason = "budget_exhausted"
	reasonNoTokens        reason = "no_tokens_now"
	reasonBudgetReserved  reason = "budget_reserved"
	reasonLeaving         reason = "leaving"
	reasonQuarantined     reason = "quarantined"
	reasonUnknownVersion  reason = "stream_version_unknown"
	reasonRouteMoved      reason = "stream_route_moved"
	reasonNoServer        reason = "no_server"
	reasonEvacuated       reason = "evacuated"
	reasonRegion          reason = "no_server_in_allowed_regions"
	reasonServersFull     reason = "servers_full"
	reasonTooLate         reason = "expected_too_late"
	reasonDeclined        reason = "declined_by_servers"
	reasonNotSent         reason = "not_sent"
	reasonOutcomeUnclear  reason = "outcome_unclear"
	reasonTimeout         reason = "timeout"
	reasonBadResponse     reason = "bad_answer"
	reasonBrokenStream    reason = "stream_broken"
	reasonCallerLeft      reason = "caller_left"
	reasonInterrupted     reason = "interrupted_by_shutdown"
	reasonOverloaded      reason = reason(overload.Shed)
	reasonHopeless        reason = reason(overload.Hopeless)
	reasonNoDescriptors   reason = "no_descriptors"
	reasonNoMemory        reason = "no_memory"
)

// refusal ends a request without a complete response of a backend server.
type refusal struct {
	reason reason
	// status is the HTTP status of the entry's error response; 0 closes the
	// caller's connection without a response.
	status int
	// retryAfter is the delay in the Retry-After header; 0 omits the header.
	retryAfter time.Duration
}

const (
	// retryAfterOtherEntry is short because the caller's next attempt reaches
	// another entry, which may hold tokens.
	retryAfterOtherEntry = 50 * time.Millisecond

	// retryAfterReserved is the time within which some of the requests in
	// progress end and release their reservations.
	retryAfterReserved = 800 * time.Millisecond

	retryAfterSoon  = 250 * time.Millisecond
	retryAfterLater = time.Second
)

// serviceUnavailable returns a 503 for a request that no backend server started
// to run.
func serviceUnavailable(cause reason, delay time.Duration) *refusal {
	return &refusal{reason: cause, status: http.StatusServiceUnavailable, retryAfter: delay}
}

// badGateway returns a 502 for a request that a backend server may have run.
func badGateway(cause reason) *refusal {
	return &refusal{reason: cause, status: http.StatusBadGateway}
}

// write sends the refusal as a complete response, so that the caller's
// connection can be reused.
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
