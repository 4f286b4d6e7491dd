package test

import (
	"bytes"
	"io"
	"net/http"
	"regexp"
	"sync"
)

// noncePattern finds the mark that a test puts into a request's body.
var noncePattern = regexp.MustCompile(`nonce-[0-9a-z-]+-end`)

// runCounter counts how often each marked request reached a backend server.
type runCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// wrap counts the requests that next serves.
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

// count returns how often the marked request ran.
func (c *runCounter) count(nonce string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[nonce]
}
