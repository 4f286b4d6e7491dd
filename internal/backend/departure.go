package backend

import (
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/upstream"
)

// Departures tracks which backend servers are leaving.
type Departures interface {
	// IsLeaving reports whether the backend server at address is leaving.
	IsLeaving(address string) bool
	// ReportLoad records whether the server's load report says that it is leaving.
	ReportLoad(address string, leaving bool)
	// CheckDispatch returns an error if no new request may be sent to address.
	CheckDispatch(address string) error
}

// checkLeaving returns an upstream.NotSentError if the backend server at address is
// leaving. Requests in progress there are not affected.
func (c *Client) checkLeaving(address string) error {
	if c.Departures == nil {
		return nil
	}
	err := c.Departures.CheckDispatch(address)
	if err != nil {
		return &upstream.NotSentError{Err: errors.Newf("dispatch: %w", err)}
	}
	return nil
}

// isLeaving reports whether Departures marks the server at address as leaving.
func (p *Pool) isLeaving(address string) bool {
	return p.Departures != nil && p.Departures.IsLeaving(address)
}
