package process

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// unreadTimeout is how long a caller may read nothing of a response that waits for it.
const unreadTimeout = time.Minute

// phase is what a connection is used for at the moment.
type phase int

const (
	// phaseNew lasts from the accept to the first byte.
	phaseNew phase = iota
	// phaseIdle lasts from the end of a response to the first byte of the next request.
	phaseIdle
	// phaseHead lasts until the header of a request is complete.
	phaseHead
	// phaseBody lasts until the body of the request is complete.
	phaseBody
	// phaseResponse lasts until the response is complete.
	phaseResponse
)

// connection is an accepted connection with deadlines for the header of a request and for the
// time without one, which follow limits that may change while it is open. It can be closed
// while it is idle without losing a request. It isn't closed from outside, because the HTTP
// server may have read a request already. Instead, the read that waits for the next request
// fails, upon which the HTTP server closes the connection. As soon as bytes of a request
// have been read, or are in the socket, reads no longer fail.
type connection struct {
	net.Conn
	// limits returns the limits in force; nil stands for the default ones.
	limits func() requestLimits
	// group is what the connection has been added to; nil if it has not.
	group *connectionGroup

	// silent is set once a header has been given up: the HTTP server would answer the part that
	// has arrived as malformed, after which callers don't try again.
	silent atomic.Bool

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// readAt is when bytes have last arrived.
	readAt time.Time
	// closing is set while reads fail so that the HTTP server closes the connection, and cut
	// once they fail even if bytes arrive.
	closing, cut bool
	// leaving is set while the connection counts as leaving in its group.
	leaving bool
	// deadline is the read deadline that the HTTP server or a handler has set, and
	// phaseDeadline that of the phase. The earlier one counts; zero is none.
	deadline      time.Time
	phaseDeadline time.Time
	// writeDeadline is the deadline of writes that the HTTP server or a handler has set; zero
	// is none.
	writeDeadline time.Time
	// headBytes is the number of bytes that have arrived in phaseHead, and heldBytes how many
	// the group counts for the header until its response is complete.
	headBytes, heldBytes int
}

// newConnection returns an accepted connection that waits for its first request.
func newConnection(conn net.Conn, limits func() requestLimits) *connection {
	c := &connection{Conn: conn, limits: limits, since: time.Now()}
	c.phaseDeadline = c.since.Add(c.limitsInForce().firstByteTimeout())
	c.applyDeadline()
	return c
}

// limitsInForce returns the limits for the request that is being read.
func (c *connection) limitsInForce() requestLimits {
	if c.limits == nil {
		return requestLimits{}.orDefaults()
	}
	return c.limits().orDefaults()
}

// NetConn returns the wrapped connection, whose file descriptor transport.IsClosedByPeer needs.
func (c *connection) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	if c.beginRead() {
		c.recordExcess(headerTooLong)
		// The caller may still be sending, and a close would then discard the response.
		time.Sleep(drainTimeout)
		return 0, os.ErrDeadlineExceeded
	}
	for {
		n, err := c.Conn.Read(p)
		if c.endRead(n, err) {
			continue
		}
		if n > 0 && c.group != nil {
			c.group.boundHeads()
		}
		if n == 0 && c.silent.Load() {
			c.recordExcess(headerLate)
		}
		return n, err
	}
}

// recordExcess counts what the caller does beyond a limit. The caller doesn't hold mu.
func (c *connection) recordExcess(kind excess) {
	if c.group != nil {
		c.group.excess.record(kind, 1)
	}
}

// beginRead bounds the time of a header that needs more than one read. It reports whether the
// header is over the limit, and then answers it. The read must then fail with a timeout, upon
// which the HTTP server closes the connection without a response of its own.
func (c *connection) beginRead() (tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseHead {
		return false
	}
	limits := c.limitsInForce()
	c.phaseDeadline = c.since.Add(limits.HeaderTimeout)
	c.applyDeadline()
	if c.headBytes <= limits.HeaderBytes+headerSlack {
		return false
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(drainTimeout))
	_, _ = io.WriteString(c.Conn, headerTooLarge)
	_ = c.CloseWrite()
	c.silent.Store(true)
	return true
}

// endRead evaluates a read of n bytes and reports whether it must be repeated, because
// bytes arrived after it had failed.
func (c *connection) endRead(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.countRead(n)
		return false
	}
	ends := c.cut || c.isPhaseOver(err)
	if !c.cut && (c.closing || ends) && c.hasUnread() {
		c.stay()
		c.phaseDeadline = time.Now().Add(lateReadTimeout)
		c.applyDeadline()
		return true
	}
	if ends && c.phase == phaseHead {
		c.silent.Store(true)
	}
	c.applyDeadline()
	return false
}

// countRead records that n bytes have arrived. The caller holds mu.
func (c *connection) countRead(n int) {
	c.readAt = time.Now()
	if c.phase == phaseNew || c.phase == phaseIdle {
		c.enter(phaseHead)
	}
	if c.phase == phaseHead {
		c.headBytes += n
		c.hold(n)
	}
	if c.closing {
		c.stay()
		c.applyDeadline()
	}
}

// hold counts bytes of a header in the group. The caller holds mu.
func (c *connection) hold(bytes int) {
	if c.group != nil {
		c.heldBytes += bytes
		c.group.heldBytes.Add(int64(bytes))
	}
}

// enter begins a phase. The caller holds mu.
func (c *connection) enter(next phase) {
	c.phase = next
	c.since = time.Now()
	c.headBytes = 0
}

// stay ends closing. The caller holds mu, and applies the deadline.
func (c *connection) stay() {
	c.closing = false
	if c.leaving && !c.cut {
		c.leaving = false
		c.group.leaving.Add(-1)
	}
}

// isPhaseOver reports whether a read has failed because of the deadline of the phase. The
// caller holds mu.
func (c *connection) isPhaseOver(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && !c.phaseDeadline.IsZero() && !time.Now().Before(c.phaseDeadline)
}

// hasUnread reports whether bytes, or the end of the connection, wait to be read. The process
// may not have been scheduled while they arrived, and a read after its deadline doesn't look at
// the socket. It clears the deadline of reads. The caller holds mu.
func (c *connection) hasUnread() bool {
	_ = c.Conn.SetReadDeadline(time.Time{})
	return !transport.IsReusable(c.Conn)
}

// applyDeadline sets the deadline of reads that is in force. The caller holds mu.
func (c *connection) applyDeadline() {
	deadline := c.deadline
	if deadline.IsZero() || !c.phaseDeadline.IsZero() && c.phaseDeadline.Before(deadline) {
		deadline = c.phaseDeadline
	}
	if c.closing || c.cut {
		deadline = pastDeadline
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline implements net.Conn. The deadline of the phase stays in force.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	c.applyDeadline()
	return nil
}

// Write implements net.Conn. It fails once the caller has read nothing for unreadTimeout.
func (c *connection) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return 0, net.ErrClosed
	}
	written := 0
	for {
		isSet := c.beginWrite()
		n, err := c.Conn.Write(p[written:])
		written += n
		if n == 0 || written == len(p) || isSet || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// beginWrite sets the deadline of the next write, and reports whether one of the HTTP server or a
// handler is in force.
func (c *connection) beginWrite() (isSet bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(unreadTimeout)
	isSet = !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline)
	if isSet {
		deadline = c.writeDeadline
	}
	_ = c.Conn.SetWriteDeadline(deadline)
	return isSet
}

// SetWriteDeadline implements net.Conn.
func (c *connection) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// CloseWrite ends the response while the rest of a request is still unread, so that the
// close doesn't reset the connection before the caller has the response. The HTTP server
// calls it.
func (c *connection) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return halfCloser.CloseWrite()
}

// SetLinger makes the close reset the connection if seconds is 0, as that of a TCP
// connection does. It does nothing for other connections.
func (c *connection) SetLinger(seconds int) error {
	lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	return lingerer.SetLinger(seconds)
}

// beginRequest records that the HTTP server has read the header of a request, which a body may
// follow.
func (c *connection) beginRequest(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phaseDeadline = time.Time{}
	if !hasBody {
		c.arrive()
		return
	}
	c.enter(phaseBody)
	c.readAt = c.since
	c.stay()
	c.applyDeadline()
}

// endBody records that the whole request has arrived.
func (c *connection) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrive()
}

// arrive begins the response to a whole request, and keeps the connection open if that had just
// been chosen to be closed for want of room: a read that fails would look as if the caller had
// left. The caller holds mu.
func (c *connection) arrive() {
	c.enter(phaseResponse)
	c.cut = false
	c.stay()
	c.applyDeadline()
}

// endRequest records that the response is complete.
func (c *connection) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseIdle)
	c.hold(-c.heldBytes)
	c.phaseDeadline = c.since.Add(c.limitsInForce().IdleTimeout)
	c.applyDeadline()
}

// closeAfter makes the HTTP server close the connection if it has been idle for the
// duration.
func (c *connection) closeAfter(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := c.phase == phaseNew || c.phase == phaseIdle
	if !waits || time.Since(c.since) < idle {
		return
	}
	c.closing = true
	c.applyDeadline()
}

// activity returns when the connection was last active, and whether no whole request has arrived
// on it. One that is being closed for want of room counts as neither.
func (c *connection) activity() (active time.Time, unfinished bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody {
		return c.readAt, !c.leaving
	}
	return c.since, c.phase != phaseResponse && !c.leaving
}

// closeForRoom makes the HTTP server close the connection, unless a whole request has arrived or
// the connection is being closed already. It reports whether it did. One on which nothing of a
// request has arrived stays open if that comes first.
func (c *connection) closeForRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseResponse || c.leaving {
		return false
	}
	c.closing = true
	c.cut = c.phase == phaseHead || c.phase == phaseBody
	c.leaving = true
	c.group.leaving.Add(1)
	c.hold(-c.heldBytes)
	c.applyDeadline()
	return true
}

// cutOff makes the HTTP server close a new connection, whatever arrives on it.
func (c *connection) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	c.applyDeadline()
}

// leave records that the connection is closed.
func (c *connection) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold(-c.heldBytes)
	if c.leaving {
		c.leaving = false
		c.group.leaving.Add(-1)
	}
}

// heldHead returns how many bytes the group counts for the header of the request.
func (c *connection) heldHead() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldBytes
}
