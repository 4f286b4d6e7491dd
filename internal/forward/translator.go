// Package forward serves requests whose bodies it does not read: it finds
// their routes by host and path, keeps their workspaces within budget, places
// them at backend servers and passes the answers on.
package forward

import (
	"net/http"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

// Request is a caller's request, decoded.
type Request struct {
	// AttemptID names this attempt of the caller; every answer repeats it.
	AttemptID string
	// Key is the caller's key.
	Key    string
	Method string
	Host   string
	// Path is the path as the caller wrote it, and Target the path and query.
	Path   string
	Target string
	// Patience is how long the caller waits; 0 means that it did not say.
	CallerTimeout time.Duration
	// LastEvent is the last event of a stream that the caller has, if any.
	LastEventID string
	// Prompt is set for requests to model engines.
	Prompt *place.Prompt
	// Header is passed on.
	Header http.Header
	Body   []byte
}

// Attempt is one send of a request to a backend server.
type Attempt struct {
	Request   *Request
	Workspace string
	// Server is the id of the backend server.
	Server string
	// Left is the time within which the answer must end.
	Timeout time.Duration
	// LastEvent is the last event that the caller has of a resumed stream.
	LastEventID string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
}

// Verdict is what a backend server says of a request beside its status.
type ResponseInfo struct {
	// NotRun tells that the server did not run the request and never will.
	NotRun bool
	// OtherServer tells that another server has the address.
	OtherServer bool
	// Genuine tells that the answer comes from a server and not from something
	// between.
	Genuine bool
	// Load is what the server says of itself; nil when it says nothing.
	Load *place.Load
}

// Translator speaks the words of the callers and backend servers of a site.
type Translator interface {
	// Request decodes everything but the body; an error means that the request
	// is malformed.
	Request(r *http.Request) (*Request, error)
	// Header returns the header to send to a backend server.
	Header(attempt *Attempt) http.Header
	// Answers tells whether an answer with this header is that of the request.
	IsResponseTo(header http.Header, request *Request) bool
	// Verdict decodes an answer's status and header.
	ResponseInfo(status int, header http.Header) ResponseInfo
	// EventID returns the id of a whole event of a stream.
	EventID(event []byte) string
}
