package process

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	// bodyTimeout bounds the time in which the body of a request must arrive, if its handler
	// sets no other deadline.
	bodyTimeout = time.Minute
	// drainTimeout bounds the time in which the rest of a body is read that nobody needs.
	drainTimeout = 500 * time.Millisecond
	// maxDrainBytes is the length up to which the rest of a body is read, so that its
	// connection stays open: it has usually arrived with the header.
	maxDrainBytes = 4 << 10
)

// guardBodies makes the request bodies of a handler end: with a read deadline, and, once the
// handler responds before a body has arrived, with the connection. Without it, the HTTP server
// reads up to 256 KB of the rest before it sends the response, however long that takes.
func guardBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &requestBody{ReadCloser: r.Body, controller: http.NewResponseController(w)}
		body.conn, _ = transport.ConnOf(r.Context()).(*connection)
		body.setDeadline(time.Now().Add(bodyTimeout))
		guarded := r.WithContext(r.Context())
		guarded.Body = body
		defer body.endHandler()
		next.ServeHTTP(&earlyResponse{ResponseWriter: w, body: body, announced: r.ContentLength}, guarded)
	})
}

// requestBody is a request body with a read deadline, which ends with the body.
type requestBody struct {
	io.ReadCloser
	controller *http.ResponseController
	// conn is the connection of the request; nil in some tests.
	conn *connection
	// complete is set once the whole body has been read.
	complete bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.complete {
		b.complete = true
		// The HTTP server now reads the connection to see whether the caller leaves. A
		// deadline would look like that.
		b.setDeadline(time.Time{})
		if b.conn != nil {
			b.conn.endBody()
		}
	}
	return n, err
}

// setDeadline sets the read deadline of the connection; zero ends it. Connections without
// deadlines, such as those of some tests, are left without.
func (b *requestBody) setDeadline(deadline time.Time) {
	_ = b.controller.SetReadDeadline(deadline)
}

// endHandler bounds the time in which the HTTP server reads what the handler has left unread.
func (b *requestBody) endHandler() {
	if !b.complete {
		b.setDeadline(time.Now().Add(drainTimeout))
	}
}

// earlyResponse is a response that may begin before the request body has been read.
type earlyResponse struct {
	http.ResponseWriter
	body *requestBody
	// announced is the length of the body in bytes; negative if it is not known.
	announced int64
	begun     bool
}

// WriteHeader closes the connection after the response if much of the body may follow, and
// bounds the time in which the rest is read.
func (w *earlyResponse) WriteHeader(status int) {
	if status >= http.StatusOK && !w.begun {
		w.begun = true
		w.endBody()
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *earlyResponse) endBody() {
	if w.body.complete {
		return
	}
	if w.announced < 0 || w.announced > maxDrainBytes {
		w.Header().Set("Connection", "close")
	}
	w.body.setDeadline(time.Now().Add(drainTimeout))
}

// Write implements io.Writer.
func (w *earlyResponse) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped response, for http.ResponseController.
func (w *earlyResponse) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
