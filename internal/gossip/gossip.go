// Package gossip speaks to the other entries in datagrams. It tells them which
// prompts this one sends where, so that all see the work that waits at the
// engines, and moves tokens between entries that cannot draw any. A datagram
// that is lost costs a worse choice, or tokens that then count as spent.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// datagramsPerSecond bounds what an entry sends, to all others together.
	datagramsPerSecond = 400
	// minPrefillTime is the least work that is told: shorter prompts delay nobody.
	minPrefillTime = 5 * time.Millisecond
	// maxQueuedPrompts bounds the messages that wait to be sent.
	maxQueuedPrompts = 64
)

// Gossiper sends and receives the messages of one entry.
type Gossiper struct {
	// Address is an IP number and a port for datagrams.
	Address string
	Fleet   *place.Fleet
	// Tokens are lent to other entries; nil means that none are.
	Tokens Tokens
	// ListAnnounced is called with the sum and age of a list of backend servers that
	// another entry read; nil means not called.
	ListAnnounced func(checksum uint64, age time.Duration)
	Log           *log.Logger

	socket  *net.UDPConn
	peers   atomic.Pointer[[]netip.AddrPort]
	queue   chan promptMessage
	dropped atomic.Int64
	loans   loans

	stop context.CancelFunc
	done sync.WaitGroup
}

// Start opens the socket.
func (g *Gossiper) Start() error {
	address, err := netip.ParseAddrPort(g.Address)
	if err != nil {
		return errors.Newf("gossip address %s: %w", g.Address, err)
	}
	g.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Newf("listen for datagrams: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.queue = make(chan promptMessage, maxQueuedPrompts)
	g.done.Go(g.receiveLoop)
	g.done.Go(func() { g.sendLoop(ctx) })
	return nil
}

// Close ends both loops.
func (g *Gossiper) Close() {
	g.stop()
	_ = g.socket.Close()
	g.done.Wait()
}

// SetPeers replaces the addresses of the other entries.
func (g *Gossiper) SetPeers(addresses []string) {
	var peers []netip.AddrPort
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			g.Log.Warn("an entry's datagram address cannot be read", "address", address)
			continue
		}
		if address != g.Address {
			peers = append(peers, parsed)
		}
	}
	g.peers.Store(&peers)
}

// AnnouncePrompt queues a message about a prompt; a full queue drops it.
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

// sendLoop sends the queued messages within the bound on datagrams.
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

// peerAddresses returns the addresses of the other entries.
func (g *Gossiper) peerAddresses() []netip.AddrPort {
	peers := g.peers.Load()
	if peers == nil {
		return nil
	}
	return *peers
}

func (g *Gossiper) sendAll(data []byte) {
	for _, peer := range g.peerAddresses() {
		g.send(data, peer)
	}
}

func (g *Gossiper) send(data []byte, to netip.AddrPort) {
	_, err := g.socket.WriteToUDPAddrPort(data, to)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		g.Log.Debug("datagram not sent", "to", to.String(), "err", err.Error())
	}
}

// receiveLoop takes in what others send until the socket is closed.
func (g *Gossiper) receiveLoop() {
	buffer := make([]byte, maxDatagramLength)
	for {
		n, from, err := g.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				g.Log.Error("datagrams can no longer be received", "err", err.Error())
			}
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		err = g.receive(buffer[:n], from)
		if err != nil {
			g.Log.Debug("datagram dropped", "from", from.String(), "err", err.Error())
		}
	}
}

// receive takes one datagram in. All but prompts count only from known entries.
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
		return errors.Newf("it is from no known entry: %w", errInvalidDatagram)
	}
	switch data[0] {
	case formatList:
		return g.handleList(data)
	case formatLoanRequest:
		return g.handleLoanRequest(data, from)
	case formatLoanResponse:
		return g.handleLoanResponse(data, from)
	default:
		return errInvalidDatagram
	}
}

func (g *Gossiper) handleList(data []byte) error {
	m, err := decodeList(data)
	if err == nil && g.ListAnnounced != nil {
		g.ListAnnounced(m.checksum, m.age)
	}
	return err
}

func (g *Gossiper) isPeer(address netip.AddrPort) bool {
	return slices.Contains(g.peerAddresses(), address)
}
