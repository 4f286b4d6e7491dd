package test

import (
	"bytes"
	"io"
	"net/http"
	"regexp"
	"sync"
)

// noncePattern matches the nonce that a test puts into a request's body.
var noncePattern = regexp.MustCompile(`nonce-[0-9a-z-]+-end`)

// runCounter counts how often each nonce reached a backend server.
type runCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// wrap returns a handler that counts the nonces of requests and passes the
// requests on to next.
func (c *runCounter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		nonce := noncePattern.Find(body)
		if nonce != nil {
			c.add(string(nonce))
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (c *runCounter) add(nonce string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[nonce]++
}

// count returns how many requests with the nonce reached a backend server.
func (c *runCounter) count(nonce string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[nonce]
}
