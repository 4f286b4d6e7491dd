package process

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/memory"
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

// bodyLimits bounds the request bodies of a listener. Its zero value bounds their time by
// bodyTimeout.
type bodyLimits struct {
	// Memory bounds the bodies that are read and handled at once, for all callers and for each
	// address; nil bounds none.
	Memory *memory.Account
	// Factor is how many times its length a body takes while it is read and handled.
	Factor int64
	// Timeout bounds the time in which a body must arrive; 0 stands for bodyTimeout.
	Timeout time.Duration
}

// guard makes the request bodies of a handler end: with a read deadline, and, once the
// handler responds before a body has arrived, with the connection. Without it, the HTTP server
// reads up to 256 KB of the rest before it sends the response, however long that takes. Requests
// whose bodies have no room are refused as not run, and where memory is bounded also those whose
// bodies are encoded.
func (l bodyLimits) guard(next http.Handler) http.Handler {
	timeout := l.Timeout
	if timeout == 0 {
		timeout = bodyTimeout
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &requestBody{ReadCloser: r.Body, controller: http.NewResponseController(w), memory: l.Memory.Request(hostOf(r)), factor: l.Factor}
		body.conn, _ = transport.ConnOf(r.Context()).(*connection)
		body.setDeadline(time.Now().Add(timeout))
		defer body.endHandler()
		response := &earlyResponse{ResponseWriter: w, body: body, announced: r.ContentLength}
		if l.Memory != nil && r.Header.Get("Content-Encoding") != "" {
			body.recordExcess(bodyRefused)
			// What it comes to once it is decompressed can't be reserved.
			http.Error(response, "the body must not be encoded", http.StatusUnsupportedMediaType)
			return
		}
		if !body.reserve(r.ContentLength) {
			body.recordExcess(bodyRefused)
			refuseForRoom(response)
			return
		}
		body.memory.Begin(func() { body.setDeadline(pastDeadline) })
		guarded := r.WithContext(r.Context())
		guarded.Body = body
		next.ServeHTTP(response, guarded)
	})
}

// hostOf returns the host from which a request came.
func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// errNoBodyMemory reports that a body without a length has no room.
var errNoBodyMemory = errors.New("no memory for the request body")

// requestBody is a request body with a read deadline, which ends with the body.
type requestBody struct {
	io.ReadCloser
	controller *http.ResponseController
	// conn is the connection of the request; nil in some tests.
	conn *connection
	// memory is what is reserved for the body and for what is made of it, for bytes that have
	// been announced or read.
	memory   *memory.Request
	factor   int64
	reserved int64
	read     int64
	// complete is set once the whole body has been read, and late once it was not in time.
	complete, late bool
}

// recordExcess counts what the caller does beyond a limit.
func (b *requestBody) recordExcess(kind excess) {
	if b.conn != nil {
		b.conn.recordExcess(kind)
	}
}

// reserve reserves memory for a body of the given size, unless it has as much, and reports
// whether it could.
func (b *requestBody) reserve(size int64) bool {
	if size <= b.reserved {
		return true
	}
	if !b.memory.TryGrow(size * b.factor) {
		return false
	}
	b.reserved = size
	return true
}

// Read implements io.Reader. It returns errNoBodyMemory if what it has read has no room, or gave way
// to others.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.memory.Advance(n)
	if !b.reserve(b.read) {
		b.recordExcess(bodyRefused)
		return 0, errNoBodyMemory
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !b.late {
		b.late = true
		b.recordExcess(bodyLate)
	}
	if errors.Is(err, io.EOF) && !b.complete {
		if !b.memory.Complete() {
			return 0, errNoBodyMemory
		}
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

// endHandler gives the memory of the body back, and bounds the time in which the HTTP server reads
// what the handler has left unread.
func (b *requestBody) endHandler() {
	b.memory.Release()
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
	if w.announced < 0 || w.announced > maxDrainBytes || w.body.memory.HasGivenWay() {
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
