package fake

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptBacklog is the number of connections that wait for Accept before dialling
// blocks.
const acceptBacklog = 128

// ErrRefused is returned when a host dials an address without a listener.
var ErrRefused = errors.New("connection refused")

// Network is an in-memory network whose links can be cut and delayed. Its zero
// value is ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[link]bool
	// changed is closed and replaced at each change of cuts.
	changed chan struct{}
	conns   map[*conn]struct{}
	delay   time.Duration
	// kills is the number of times each host was killed.
	kills map[string]int
}

// link is one direction between two hosts.
type link struct {
	from string
	to   string
}

// Host is one process's view of a Network. It implements transport.Network.
// After Kill of its host it returns ErrKilled.
type Host struct {
	network *Network
	name    string
	kills   int
}

// Host returns a view of the network for a new process on the host called name.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Host{network: n, name: name, kills: n.kills[name]}
}

// ErrKilled is returned when a killed process listens or dials.
var ErrKilled = errors.New("the process was killed")

// checkAlive returns ErrKilled if the host was killed since the view was
// created. The caller holds the network's mutex.
func (h *Host) checkAlive() error {
	if h.network.kills[h.name] != h.kills {
		return ErrKilled
	}
	return nil
}

// SetDelay sets the delay of every write.
func (n *Network) SetDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Cut blocks the direction between two hosts: writes and new connections wait.
// A waiting write is delivered after Heal unless its connection is closed or its
// deadline passes first.
func (n *Network) Cut(from, to string) {
	n.setCut(link{from: from, to: to}, true)
}

// Heal unblocks a direction that Cut blocked.
func (n *Network) Heal(from, to string) {
	n.setCut(link{from: from, to: to}, false)
}

// Kill simulates the abrupt end of a host's process: it closes the host's
// listeners and connections and invalidates its views of the network.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	if n.kills == nil {
		n.kills = make(map[string]int)
	}
	n.kills[name]++
	var closingConns []*conn
	for c := range n.conns {
		if c.link.from == name || c.link.to == name {
			closingConns = append(closingConns, c)
		}
	}
	var closingListeners []*listener
	for _, l := range n.listeners {
		if l.host == name {
			closingListeners = append(closingListeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closingListeners {
		_ = l.Close()
	}
	for _, c := range closingConns {
		_ = c.Close()
	}
}

// Blackhole drops everything that is sent from now on over the existing
// connections, including their closing. New connections work.
func (n *Network) Blackhole() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.blackholed.Store(true)
	}
}

func (n *Network) setCut(l link, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[link]bool)
	}
	if cut {
		n.cuts[l] = true
	} else {
		delete(n.cuts, l)
	}
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
}

// linkState reports whether the link is cut. changed is closed at the next change
// of any cut, and delay is the delay of writes.
func (n *Network) linkState(l link) (cut bool, changed <-chan struct{}, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.cuts[l], n.changed, n.delay
}

// Listen implements transport.Network.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	err := h.checkAlive()
	if err != nil {
		return nil, errors.Newf("listen on %s: %w", address, err)
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	_, taken := n.listeners[address]
	if taken {
		return nil, errors.Newf("listen on %s: address already in use", address)
	}
	l := &listener{
		network: n,
		host:    h.name,
		address: memoryAddress(address),
		backlog: make(chan net.Conn, acceptBacklog),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// DialContext implements transport.Network. While the link is cut in either
// direction, it waits until ctx is done.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	err := h.checkAlive()
	n.mu.Unlock()
	if err != nil {
		return nil, errors.Newf("dial %s: %w", address, err)
	}
	if l == nil {
		return nil, errors.Newf("dial %s: %w", address, ErrRefused)
	}
	err = n.waitForLink(ctx, link{from: h.name, to: l.host})
	if err != nil {
		return nil, errors.Newf("dial %s: %w", address, err)
	}
	return l.connect(ctx, h.name)
}

// waitForLink waits until the link is open in both directions or ctx is done.
func (n *Network) waitForLink(ctx context.Context, forward link) error {
	reverse := link{from: forward.to, to: forward.from}
	for {
		forwardCut, changed, _ := n.linkState(forward)
		reverseCut, _, _ := n.linkState(reverse)
		if !forwardCut && !reverseCut {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type memoryAddress string

func (memoryAddress) Network() string  { return "memory" }
func (a memoryAddress) String() string { return string(a) }

type listener struct {
	network *Network
	host    string
	address memoryAddress
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// connect creates a connection from a host and hands its server end to Accept.
func (l *listener) connect(ctx context.Context, from string) (net.Conn, error) {
	clientPipe, serverPipe := net.Pipe()
	client := l.network.newConn(clientPipe, link{from: from, to: l.host})
	server := l.network.newConn(serverPipe, link{from: l.host, to: from})
	select {
	case l.backlog <- server:
		l.resetBacklogWhenClosed()
		return client, nil
	case <-l.closed:
		return nil, errors.Newf("dial %s: %w", l.address, ErrRefused)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	l.resetBacklogWhenClosed()
	return nil
}

// resetBacklogWhenClosed closes the connections that a closed listener has not accepted.
func (l *listener) resetBacklogWhenClosed() {
	select {
	case <-l.closed:
	default:
		return
	}
	for {
		select {
		case c := <-l.backlog:
			_ = c.Close()
		default:
			return
		}
	}
}

func (l *listener) Addr() net.Addr {
	return l.address
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	network *Network
	link    link
	closed  chan struct{}
	once    sync.Once
	// blackholed makes writes succeed without delivering anything.
	blackholed atomic.Bool

	mu       sync.Mutex
	deadline time.Time
}

func (n *Network) newConn(pipe net.Conn, l link) *conn {
	c := &conn{Conn: pipe, network: n, link: l, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*conn]struct{})
	}
	n.conns[c] = struct{}{}
	return c
}

// Write waits while the link is cut, so that the peer receives neither data nor
// an error.
func (c *conn) Write(p []byte) (int, error) {
	for {
		if c.blackholed.Load() {
			return len(p), nil
		}
		cut, changed, delay := c.network.linkState(c.link)
		if !cut {
			c.pause(delay)
			return c.Conn.Write(p)
		}
		expired, stop := c.writeTimeout()
		select {
		case <-changed:
			stop()
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		case <-c.closed:
			stop()
			return 0, net.ErrClosed
		}
	}
}

func (c *conn) pause(delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-c.closed:
	}
}

// writeTimeout returns a channel that fires at the write deadline, nil if there
// is none, and a function that stops its timer.
func (c *conn) writeTimeout() (<-chan time.Time, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(c.deadline))
	return timer.C, func() { timer.Stop() }
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.setWriteDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setWriteDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) setWriteDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
}

// Close implements net.Conn. On a blackholed connection the peer does not notice.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		delete(c.network.conns, c)
	})
	if c.blackholed.Load() {
		// Leave the pipe open so that the peer sees no end of file; the past
		// deadline unblocks reads at this end.
		return c.Conn.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}
