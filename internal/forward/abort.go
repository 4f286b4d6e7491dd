package forward

import "net/http"

// lingerer is a connection, such as one over TCP, whose close can discard what was not sent.
type lingerer interface {
	SetLinger(seconds int) error
}

// abortResponse ends a response that has started and can't be completed, by a panic with
// http.ErrAbortHandler. Callers see that it is cut: it has no final chunk or too few bytes.
// Before HTTP/1.1 a closed connection is the proper end of a stream, so it is reset.
func abortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the connection of a response, if it is one that can be reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if l, ok := conn.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	_ = conn.Close()
}
