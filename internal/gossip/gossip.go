// Package gossip exchanges UDP datagrams between entries. An entry announces
// the prompts that it places, so that all entries know the prefill backlog of
// each engine, lends tokens to entries that can't draw any from the control
// group, and tells others where a stream began: its origin, a text that only
// package forward reads. It also shares the evidence against prompt segments
// and requests under which servers crash, and the limits that backend servers
// name, says whether it reaches the servers of an upstream, and echoes the datagrams by which
// entries measure their own delay. A lost datagram
// leads to a worse placement, to a loan whose tokens then count as spent, or to a
// stream whose origin is unknown; evidence and limits are repeated.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/quarantine"
)

const (
	// datagramsPerSecond bounds the datagrams that announce prompts, to all
	// peers together.
	datagramsPerSecond = 400
	// minPrefillTime is the shortest prefill that is announced: shorter ones
	// delay no other prompt noticeably.
	minPrefillTime = 5 * time.Millisecond
	// maxQueuedPrompts bounds the announcements that wait to be sent.
	maxQueuedPrompts = 64
)

// Gossiper sends and receives the datagrams of one entry. Set its exported
// fields before Start.
type Gossiper struct {
	// Address is the IP address and port to listen on.
	Address string
	// Fleet receives the prompts that other entries announce.
	Fleet *place.Fleet
	// Tokens lends and receives tokens; nil means that the entry takes part in
	// no loans.
	Tokens Tokens
	// ListAnnounced, if not nil, is called with the checksum and the age of a
	// list of backend servers that another entry read.
	ListAnnounced func(checksum uint64, age time.Duration)
	// Entries returns the number of entries that control instances have reported; nil
	// means that only the peers are known.
	Entries func() int
	// Evidence receives and repeats the evidence against what crashes servers; nil shares
	// none.
	Evidence *quarantine.Registry
	// Overload receives the delays that echoes of peers show; nil sends and answers no
	// echoes.
	Overload *overload.Controller
	// Diverter receives what peers state in echoes besides their delay; nil states nothing of
	// that kind to them.
	Diverter *overload.Diverter
	Log      *log.Logger

	socket *net.UDPConn
	// descriptor is the socket for sends that must not block.
	descriptor syscall.RawConn
	peers      atomic.Pointer[[]netip.AddrPort]
	queue      chan promptMessage
	// sent, received and dropped count datagrams; dropped are those that were not
	// sent.
	sent     atomic.Int64
	received atomic.Int64
	dropped  atomic.Int64
	// loadsSent and loadsReceived count the datagrams with loads, which are counted above
	// too.
	loadsSent     atomic.Int64
	loadsReceived atomic.Int64
	loans         loans
	origins       originTable
	queries       streamQueries
	evidence      evidenceQueue
	limits        chan limitMessage
	colds         chan coldMessage
	probeRequests chan probeRequest
	reach         reachAnswers
	members       memberHistory
	prober        overload.Prober

	stop context.CancelFunc
	done sync.WaitGroup
}

// Start opens the socket and starts to send and receive. It returns an error if
// Address is invalid or can't be listened on.
func (g *Gossiper) Start() error {
	address, err := netip.ParseAddrPort(g.Address)
	if err != nil {
		return errors.Newf("parse gossip address %s: %w", g.Address, err)
	}
	g.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Newf("listen for gossip datagrams: %w", err)
	}
	g.descriptor, err = g.socket.SyscallConn()
	if err != nil {
		_ = g.socket.Close()
		return errors.Newf("get the descriptor of the gossip socket: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.queue = make(chan promptMessage, maxQueuedPrompts)
	g.evidence.start()
	g.limits = make(chan limitMessage, maxQueuedLimits)
	g.colds = make(chan coldMessage, maxQueuedColds)
	g.probeRequests = make(chan probeRequest, maxQueuedColds)
	g.done.Go(g.receiveLoop)
	g.done.Go(func() { g.sendLoop(ctx) })
	g.done.Go(func() { g.evidenceLoop(ctx) })
	g.done.Go(func() { g.limitLoop(ctx) })
	g.done.Go(func() { g.loadLoop(ctx) })
	g.done.Go(func() { g.coldLoop(ctx) })
	g.startEchoes(ctx)
	return nil
}

// Close closes the socket and waits until sending and receiving have stopped.
func (g *Gossiper) Close() {
	g.stop()
	_ = g.socket.Close()
	g.done.Wait()
}

// Counts are the datagrams of a gossiper since its start.
type Counts struct {
	Sent     int64
	Received int64
	// Dropped counts datagrams that were not sent, because too many waited, the rate
	// limit was reached or the socket's buffer was full.
	Dropped int64
	// LoadsSent and LoadsReceived count datagrams with the loads of servers, which are
	// counted above too. Invalid ones are not among those received.
	LoadsSent     int64
	LoadsReceived int64
}

// Counts returns the datagrams since the start.
func (g *Gossiper) Counts() Counts {
	return Counts{Sent: g.sent.Load(), Received: g.received.Load(), Dropped: g.dropped.Load(), LoadsSent: g.loadsSent.Load(), LoadsReceived: g.loadsReceived.Load()}
}

// SetPeers replaces the addresses of the peer entries. It skips the gossiper's
// own address and logs invalid ones.
func (g *Gossiper) SetPeers(addresses []string) {
	var peers []netip.AddrPort
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			g.Log.Warn("the datagram address of a peer entry is invalid", "address", address)
			continue
		}
		if address != g.Address {
			peers = append(peers, parsed)
		}
	}
	g.peers.Store(&peers)
	g.members.update(peers, time.Now())
}

// AnnouncePrompt queues an announcement that this entry sent a prompt to
// server. It never blocks: the announcement is dropped if the queue is full.
func (g *Gossiper) AnnouncePrompt(server string, prefillTime time.Duration, segments []place.PrefixSegment) {
	if prefillTime < minPrefillTime {
		return
	}
	select {
	case g.queue <- promptMessage{server: server, prefillTime: prefillTime, segments: segments}:
	default:
		g.dropped.Add(1)
	}
}

// sendLoop sends the queued announcements to all peers and drops those that
// would exceed datagramsPerSecond.
func (g *Gossiper) sendLoop(ctx context.Context) {
	allowance := float64(datagramsPerSecond)
	last := time.Now()
	var buffer []byte
	for {
		var m promptMessage
		select {
		case m = <-g.queue:
		case <-ctx.Done():
			return
		}
		peers := float64(len(g.peerAddresses()))
		now := time.Now()
		allowance = min(datagramsPerSecond, allowance+now.Sub(last).Seconds()*datagramsPerSecond)
		last = now
		if allowance < peers {
			g.dropped.Add(1)
			continue
		}
		allowance -= peers
		buffer = m.append(buffer[:0])
		g.sendAll(buffer)
	}
}

// peerAddresses returns the addresses of the peer entries; the caller must not
// modify them.
func (g *Gossiper) peerAddresses() []netip.AddrPort {
	peers := g.peers.Load()
	if peers == nil {
		return nil
	}
	return *peers
}

// randomPeers returns at most count random peer entries.
func (g *Gossiper) randomPeers(count int) []netip.AddrPort {
	peers := slices.Clone(g.peerAddresses())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// sendAll sends a datagram to all peers.
func (g *Gossiper) sendAll(data []byte) {
	for _, peer := range g.peerAddresses() {
		g.send(data, peer)
	}
}

// trySendAll sends a datagram to all peers as trySend does.
func (g *Gossiper) trySendAll(data []byte) {
	for _, peer := range g.peerAddresses() {
		g.trySend(data, peer)
	}
}

// send sends one datagram and logs a failure.
func (g *Gossiper) send(data []byte, to netip.AddrPort) {
	g.sent.Add(1)
	_, err := g.socket.WriteToUDPAddrPort(data, to)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		g.Log.Debug("the datagram could not be sent", "to", to.String(), "err", err.Error())
	}
}

// trySend sends one datagram, or drops it if the socket's buffer is full, and reports whether
// it was sent. Unlike send, it never waits for room or for another send.
func (g *Gossiper) trySend(data []byte, to netip.AddrPort) bool {
	address := to.Addr().Unmap()
	if !address.Is4() {
		g.dropped.Add(1)
		return false
	}
	destination := syscall.SockaddrInet4{Port: int(to.Port()), Addr: address.As4()}
	var sendErr error
	err := g.descriptor.Control(func(descriptor uintptr) {
		sendErr = syscall.Sendto(int(descriptor), data, syscall.MSG_DONTWAIT, &destination)
	})
	if err == nil && sendErr == nil {
		g.sent.Add(1)
		return true
	}
	g.dropped.Add(1)
	if sendErr != nil {
		g.Log.Debug("the datagram could not be sent", "to", to.String(), "err", sendErr.Error())
	}
	return false
}

// receiveLoop handles incoming datagrams until the socket is closed.
func (g *Gossiper) receiveLoop() {
	buffer := make([]byte, maxDatagramLength)
	for {
		n, from, err := g.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				g.Log.Error("no more datagrams are received because the socket failed", "err", err.Error())
			}
			return
		}
		g.received.Add(1)
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		err = g.receive(buffer[:n], from)
		if err != nil {
			g.Log.Debug("the received datagram was dropped", "from", from.String(), "err", err.Error())
		}
	}
}

// receive handles one datagram. Messages other than prompts are accepted only
// from known peers.
func (g *Gossiper) receive(data []byte, from netip.AddrPort) error {
	if len(data) == 0 {
		return errInvalidDatagram
	}
	if data[0] == formatPrompt {
		m, err := decodePrompt(data)
		if err != nil {
			return err
		}
		g.Fleet.RecordRemotePrompt(m.server, m.prefillTime, m.segments, time.Now())
		return nil
	}
	if !g.isPeer(from) {
		return errors.Newf("sender is not a known entry: %w", errInvalidDatagram)
	}
	switch data[0] {
	case formatList:
		return g.handleList(data)
	case formatLoanRequest:
		return g.handleLoanRequest(data, from)
	case formatLoanResponse:
		return g.handleLoanResponse(data, from)
	case formatEvidence:
		return g.handleEvidence(data)
	case formatLimit:
		return g.handleLimit(data)
	case formatLoads:
		return g.handleLoads(data)
	case formatCold:
		return g.handleCold(data)
	case formatProbeRequest:
		return g.handleProbeRequest(data)
	case formatReachQuery:
		return g.handleReachQuery(data, from)
	case formatReachAnswer:
		return g.handleReachAnswer(data, from)
	case formatStreamAnnouncement:
		return g.handleStreamAnnouncement(data)
	case formatStreamQuery:
		return g.handleStreamQuery(data, from)
	case formatStreamAnswer:
		return g.handleStreamAnswer(data, from)
	case formatEchoRequest:
		return g.handleEchoRequest(data, from)
	case formatEchoAnswer:
		return g.handleEchoAnswer(data, from)
	default:
		return errInvalidDatagram
	}
}

// handleList passes the list that a peer read to ListAnnounced.
func (g *Gossiper) handleList(data []byte) error {
	m, err := decodeList(data)
	if err == nil && g.ListAnnounced != nil {
		g.ListAnnounced(m.checksum, m.age)
	}
	return err
}

// isPeer reports whether address belongs to a known peer.
func (g *Gossiper) isPeer(address netip.AddrPort) bool {
	return slices.Contains(g.peerAddresses(), address)
}
