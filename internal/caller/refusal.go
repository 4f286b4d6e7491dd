package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Refusal is the error response to a request.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Code identifies the kind of error; programs may depend on it.
	Code    string
	Message string
	// NotRun is true only if nothing was dispatched or billed.
	NotRun bool
	// RetryAfter is the time after which a retry may succeed; 0 means that a
	// retry does not help.
	RetryAfter time.Duration
}

// errorBody is the body of an error response in the OpenAI format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	NotRun  bool    `json:"not_run"`
	// Outcome is "unknown" if the request may have run, else empty.
	Outcome string `json:"outcome,omitempty"`
}

// Values of Refusal.Code.
const (
	codeUnauthorized      = "invalid_api_key"
	codeForbidden         = "work_not_allowed"
	codeBadRequest        = "invalid_request"
	codeTooLarge          = "request_too_large"
	codeBodyTimeout       = "body_timeout"
	codeNoRoute           = "model_not_found"
	codeOverBudget        = "insufficient_budget"
	codeNoCapacity        = "no_capacity"
	codeNoLedger          = "ledger_unreachable"
	codeNoConfig          = "configuration_missing"
	codeKeyReused         = "idempotency_key_reused"
	codeRunning           = "request_running"
	codeUnknown           = "outcome_unknown"
	codeNoClaim           = "claim_unavailable"
	codeBackendRefused    = "backend_refused"
	codeResponseNotStored = "answer_not_kept"
	codeShuttingDown      = "shutting_down"
	codeDeadline          = "deadline_exceeded"
)

const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

// Error implements error.
func (r *Refusal) Error() string {
	return r.Code + ": " + r.Message
}

// body returns the refusal in the OpenAI error shape.
func (r *Refusal) body() []byte {
	detail := errorDetail{Message: r.Message, Type: errorType(r.Status), Code: r.Code, NotRun: r.NotRun}
	if r.Code == codeUnknown {
		detail.Outcome = "unknown"
	}
	data, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		return []byte(`{"error":{"code":"internal","not_run":false}}`)
	}
	return data
}

// write sends the refusal as the HTTP response.
func (r *Refusal) write(w http.ResponseWriter) {
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body := r.body()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

// errorType maps an HTTP status to an OpenAI error type.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests || status == http.StatusPaymentRequired:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// notRun returns a refusal of a request that was neither dispatched nor billed.
func notRun(status int, code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, NotRun: true, RetryAfter: retryAfter}
}

// unknownOutcome returns a refusal of a request that may have run.
func unknownOutcome() *Refusal {
	return &Refusal{
		Status:  http.StatusBadGateway,
		Code:    codeUnknown,
		Message: "the connection to the backend server was lost: the request may have run; ask again with the same Idempotency-Key",
	}
}
