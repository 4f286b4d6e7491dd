// Package forward is a reverse proxy that does not interpret request bodies. It
// routes requests by host and path, keeps workspaces within their budgets,
// places requests at backend servers and forwards the responses.
package forward

import (
	"net/http"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// Request is a caller's decoded request.
type Request struct {
	// AttemptID identifies this attempt of the caller. Every response repeats it,
	// which matches the response to its request.
	AttemptID string
	// Key is the caller's secret, which identifies the workspace.
	Key    string
	Method string
	Host   string
	// Path is the escaped path as the caller sent it, and Target the path with
	// the query.
	Path   string
	Target string
	// CallerTimeout is how long the caller waits for the response; 0 means that
	// the request does not state it.
	CallerTimeout time.Duration
	// LastEventID is the id of the last event that the caller has received of a
	// stream that it resumes, or empty.
	LastEventID string
	// ContinuedAttempt is the id of the caller's attempt that brought the first event
	// of a stream that it resumes, or empty.
	ContinuedAttempt string
	// Prompt describes the prompt of a request to a model engine; nil for other
	// requests.
	Prompt *place.Prompt
	// Header holds the headers to forward.
	Header http.Header
	Body   upstream.Body
}

// Attempt is one send of a request to a backend server.
type Attempt struct {
	Request   *Request
	Workspace string
	// Server is the id of the backend server that should receive the request.
	Server string
	// Timeout is the time that remains until the response must be complete.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller has received of
	// the stream, or empty. The server must resume after it.
	LastEventID string
	// Priority orders requests; 0 is the most urgent.
	Priority int
}

// ResponseInfo is what the status and the header of a response state about the
// request and its server.
type ResponseInfo struct {
	// Identified is set if the response names the attempt that it belongs to.
	Identified bool
	// NotRun is set if the server did not run the request and never will.
	NotRun bool
	// OtherServer is set if a server other than the addressed one responded.
	OtherServer bool
	// Genuine is set if the response comes from a backend server and not from an
	// intermediary.
	Genuine bool
	// Leaving is set if the server is about to stop.
	Leaving bool
	// RetryAfter is how long a server that declined the request wants no further one
	// from this entry; 0 if it does not say.
	RetryAfter time.Duration
	// Limit is the limit that the server names for all entries together.
	Limit place.Limit
	// Brittle says whether the server falls over when it turns requests away.
	Brittle place.Brittle
	// ColdFor is how long the server stays cold, if ColdStated says that it states that.
	ColdFor    time.Duration
	ColdStated bool
	// Load is the load that the server reports; nil if it reports none.
	Load *place.Load
}

// Translator converts between Server and a site's protocols for callers and
// backend servers. Its methods may be called concurrently.
type Translator interface {
	// Request decodes everything but the body. It returns an error if the request
	// is malformed.
	Request(r *http.Request) (*Request, error)
	// Header returns the header to send to a backend server.
	Header(attempt *Attempt) http.Header
	// RelayHeader returns the header to send to another entry: the caller's, with the time
	// that remains.
	RelayHeader(request *Request, timeout time.Duration) http.Header
	// IsResponseTo reports whether a response with this header belongs to
	// request.
	IsResponseTo(header http.Header, request *Request) bool
	// ResponseInfo decodes the status and the header of a response.
	ResponseInfo(status int, header http.Header) ResponseInfo
	// EventID returns the id of a complete event of a stream, or an empty string
	// if the event has none.
	EventID(event []byte) string
	// MayFollow reports whether an event with the given id can come after the one with
	// the id last in a stream. It returns true if the ids don't tell.
	MayFollow(last, id string) bool
}
