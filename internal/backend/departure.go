package backend

import "github.com/cockroachdb/errors"

// Departures knows which backend servers are leaving.
type Departures interface {
	// IsLeaving tells whether the backend server at address is leaving.
	IsLeaving(address string) bool
	// ReportLoad takes in whether a load report says that the server leaves.
	ReportLoad(address string, leaving bool)
	// CheckDispatch asserts that a new request may be sent to address.
	CheckDispatch(address string) error
}

// checkLeaving refuses a new request to a backend server that is leaving;
// its running requests are not touched.
func (c *Client) checkLeaving(address string) error {
	if c.Departures == nil {
		return nil
	}
	err := c.Departures.CheckDispatch(address)
	if err != nil {
		return errors.Mark(errors.Newf("dispatch: %w", err), ErrNotSent)
	}
	return nil
}

func (p *Pool) isLeaving(address string) bool {
	return p.Departures != nil && p.Departures.IsLeaving(address)
}
