package backend

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// maxDispatchDelay is how long after the first report of its leaving a backend server
// may still receive new requests.
const maxDispatchDelay = 3 * time.Second

// checkLeaving returns an upstream.NotSentError if the backend server at address has
// been leaving for longer than maxDispatchDelay. Requests in progress there are not
// affected.
func (c *Client) checkLeaving(address string) error {
	since, leaving := c.Departures.Since(address)
	if !leaving {
		return nil
	}
	age := time.Since(since)
	err := c.Check.Check(age <= maxDispatchDelay, invariant.NoDispatchToLeavingServer, "%s has been leaving for %s", address, age)
	if err != nil {
		return &upstream.NotSentError{Err: errors.Newf("dispatch: %w", err)}
	}
	return nil
}
