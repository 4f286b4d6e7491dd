package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	attempt string
	status  int
	body    string
	// whole is set if the answer came to its end.
	whole bool
	err   error
}

// request describes one request of a client.
type request struct {
	entry    int
	path     string
	method   string
	body     string
	deadline time.Duration
	// tokens is the value of the header with the prompt and output tokens.
	tokens string
	// prefix is the value of the header with the parts of the prompt; empty stands for two parts.
	prefix string
	// lastEvent and resumes are set on a request that takes a stream up again.
	lastEvent string
	resumes   string
}

// send sends one request on a new connection and reads its answer.
func (s *site) send(q request) answer {
	attempt := s.nextID("q")
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+s.callerAddress(q.entry)+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{attempt: attempt, err: err}
	}
	r.Host = routeHost
	r.Header.Set("X-Cactusbay-Attempt-Id", attempt)
	r.Header.Set("X-Cactusbay-Key", tenantKey)
	r.Header.Set("X-Cactusbay-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.tokens != "" {
		r.Header.Set("X-Cactusbay-Model", "m")
		r.Header.Set("X-Cactusbay-Token-Usage", q.tokens)
		r.Header.Set("X-Cactusbay-Prompt-Prefix", cmp.Or(q.prefix, "5c1e07a2:50,91bd3f06:50"))
	}
	if q.lastEvent != "" {
		r.Header.Set("Last-Event-Id", q.lastEvent)
		r.Header.Set("Resumes", q.resumes)
	}
	s.log("client: %s %s %s to entry %d, tokens %q, last event %q, %d bytes of parts", attempt, q.method, q.path, q.entry, q.tokens, q.lastEvent, len(q.prefix))
	response, err := client.Do(r)
	if err != nil {
		s.log("client: %s got no answer: %v", attempt, err)
		return answer{attempt: attempt, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(bufio.NewReader(response.Body))
	a := answer{attempt: attempt, status: response.StatusCode, body: string(data), whole: err == nil, err: err}
	s.log("client: %s got %d, stamp %q, whole %t, retry-after %q, body %q", attempt, a.status, response.Header.Get("X-Cactusbay-Server-Stamp"), a.whole, response.Header.Get("Retry-After"), a.body)
	return a
}
