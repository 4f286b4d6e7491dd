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
	// minWork is the least work that is told: shorter prompts delay nobody.
	minWork = 5 * time.Millisecond
	// queueLength bounds the messages that wait to be sent.
	queueLength = 64
)

// Spreader sends and receives the messages of one entry.
type Spreader struct {
	// Address is an IP number and a port for datagrams.
	Address string
	Fleet   *place.Fleet
	// Tokens are lent to other entries; nil means that none are.
	Tokens Tokens
	// Listed is called with the sum and age of a list of backend servers that
	// another entry read; nil means not called.
	Listed func(sum uint64, age time.Duration)
	Log    *log.Logger

	socket  *net.UDPConn
	peers   atomic.Pointer[[]netip.AddrPort]
	queue   chan message
	dropped atomic.Int64
	loans   loans

	stop context.CancelFunc
	done sync.WaitGroup
}

// Start opens the socket.
func (s *Spreader) Start() error {
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return errors.Newf("gossip address %s: %w", s.Address, err)
	}
	s.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Newf("listen for datagrams: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.queue = make(chan message, queueLength)
	s.done.Go(s.receiveLoop)
	s.done.Go(func() { s.sendLoop(ctx) })
	return nil
}

// Close ends both loops.
func (s *Spreader) Close() {
	s.stop()
	_ = s.socket.Close()
	s.done.Wait()
}

// SetPeers replaces the addresses of the other entries.
func (s *Spreader) SetPeers(addresses []string) {
	var peers []netip.AddrPort
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			s.Log.Warn("an entry's datagram address cannot be read", "address", address)
			continue
		}
		if address != s.Address {
			peers = append(peers, parsed)
		}
	}
	s.peers.Store(&peers)
}

// Tell queues a message about a prompt; a full queue drops it.
func (s *Spreader) Tell(server string, work time.Duration, parts []place.PrefixSegment) {
	if work < minWork {
		return
	}
	select {
	case s.queue <- message{server: server, work: work, parts: parts}:
	default:
		s.dropped.Add(1)
	}
}

// sendLoop sends the queued messages within the bound on datagrams.
func (s *Spreader) sendLoop(ctx context.Context) {
	allowance := float64(datagramsPerSecond)
	last := time.Now()
	var buffer []byte
	for {
		var m message
		select {
		case m = <-s.queue:
		case <-ctx.Done():
			return
		}
		peers := float64(len(s.others()))
		now := time.Now()
		allowance = min(datagramsPerSecond, allowance+now.Sub(last).Seconds()*datagramsPerSecond)
		last = now
		if allowance < peers {
			s.dropped.Add(1)
			continue
		}
		allowance -= peers
		buffer = m.append(buffer[:0])
		s.sendAll(buffer)
	}
}

// others returns the addresses of the other entries.
func (s *Spreader) others() []netip.AddrPort {
	peers := s.peers.Load()
	if peers == nil {
		return nil
	}
	return *peers
}

func (s *Spreader) sendAll(data []byte) {
	for _, peer := range s.others() {
		s.send(data, peer)
	}
}

func (s *Spreader) send(data []byte, to netip.AddrPort) {
	_, err := s.socket.WriteToUDPAddrPort(data, to)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		s.Log.Debug("datagram not sent", "to", to.String(), "err", err.Error())
	}
}

// receiveLoop takes in what others send until the socket is closed.
func (s *Spreader) receiveLoop() {
	buffer := make([]byte, maxMessage)
	for {
		n, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				s.Log.Error("datagrams can no longer be received", "err", err.Error())
			}
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		err = s.receive(buffer[:n], from)
		if err != nil {
			s.Log.Debug("datagram dropped", "from", from.String(), "err", err.Error())
		}
	}
}

// receive takes one datagram in. All but prompts count only from known entries.
func (s *Spreader) receive(data []byte, from netip.AddrPort) error {
	if len(data) == 0 {
		return errMessage
	}
	if data[0] == formatPrompt {
		m, err := decode(data)
		if err != nil {
			return err
		}
		s.Fleet.RecordRemotePrompt(m.server, m.work, m.parts, time.Now())
		return nil
	}
	if !s.knows(from) {
		return errors.Newf("it is from no known entry: %w", errMessage)
	}
	switch data[0] {
	case formatList:
		return s.takeList(data)
	case formatAsk:
		return s.serveAsk(data, from)
	case formatAnswer:
		return s.takeAnswer(data, from)
	default:
		return errMessage
	}
}

func (s *Spreader) takeList(data []byte) error {
	n, err := decodeList(data)
	if err == nil && s.Listed != nil {
		s.Listed(n.sum, n.age)
	}
	return err
}

func (s *Spreader) knows(address netip.AddrPort) bool {
	return slices.Contains(s.others(), address)
}
