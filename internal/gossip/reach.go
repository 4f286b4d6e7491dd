package gossip

import (
	"encoding/binary"
	"math"
	"net/netip"
	"sync"
	"time"
)

const (
	// askedPeers is how many random peers are asked at once whether they reach the servers
	// of an upstream.
	askedPeers = 6
	// maxAskedUpstreams bounds the upstreams for which answers are remembered.
	maxAskedUpstreams = 64
	// neverAnswered is the encoded age if no server has answered.
	neverAnswered = math.MaxUint32

	minReachQueryLength  = 1 + 1
	minReachAnswerLength = 1 + 4 + 1
)

// A query whether an entry reaches the servers of an upstream is encoded as the format and
// the upstream's name. The answer is encoded as the format, the time since a server last
// sent the entry anything, in milliseconds, big-endian, and the name.

// appendReachQuery appends an encoded query to buffer.
func appendReachQuery(buffer []byte, upstream string) []byte {
	return append(append(buffer, formatReachQuery), upstream...)
}

// appendReachAnswer appends an encoded answer to buffer.
func appendReachAnswer(buffer []byte, upstream string, age uint32) []byte {
	buffer = binary.BigEndian.AppendUint32(append(buffer, formatReachAnswer), age)
	return append(buffer, upstream...)
}

// reachAnswers holds, by upstream and peer, when a server last sent the peer anything. Its
// zero value is ready to use.
type reachAnswers struct {
	mu       sync.Mutex
	answered map[string]map[netip.AddrPort]time.Time
}

// expect prepares for the answers about an upstream and reports whether they are stored.
func (a *reachAnswers) expect(upstream string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answered == nil {
		a.answered = make(map[string]map[netip.AddrPort]time.Time)
	}
	if a.answered[upstream] == nil {
		if len(a.answered) >= maxAskedUpstreams {
			return false
		}
		a.answered[upstream] = make(map[netip.AddrPort]time.Time)
	}
	return true
}

// add stores the answer of a peer about an upstream that was asked for.
func (a *reachAnswers) add(upstream string, peer netip.AddrPort, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	answers := a.answered[upstream]
	if answers != nil && at.After(answers[peer]) {
		answers[peer] = at
	}
}

// since returns the peers with an answer after the given time.
func (a *reachAnswers) since(upstream string, after time.Time) []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var peers []netip.AddrPort
	for peer, at := range a.answered[upstream] {
		if at.After(after) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// AskReach asks some peers when the servers of an upstream last answered them. It does not
// wait for their answers.
func (g *Gossiper) AskReach(upstream string) {
	if upstream == "" || len(upstream) > maxNameLength || !g.reach.expect(upstream) {
		return
	}
	query := appendReachQuery(nil, upstream)
	for _, peer := range g.randomPeers(askedPeers) {
		g.trySend(query, peer)
	}
}

// Reaching returns the addresses of the peers that the servers of an upstream have answered
// after the given time, as far as they were asked.
func (g *Gossiper) Reaching(upstream string, after time.Time) []string {
	var addresses []string
	for _, peer := range g.reach.since(upstream, after) {
		if g.isPeer(peer) {
			addresses = append(addresses, peer.String())
		}
	}
	return addresses
}

// handleReachQuery tells a peer when the servers of an upstream last answered this entry.
func (g *Gossiper) handleReachQuery(data []byte, from netip.AddrPort) error {
	if len(data) < minReachQueryLength {
		return errInvalidDatagram
	}
	upstream := string(data[1:])
	age := uint32(neverAnswered)
	answeredAt := g.Fleet.AnsweredAt(upstream)
	if !answeredAt.IsZero() {
		age = uint32(min(neverAnswered, max(0, time.Since(answeredAt).Milliseconds())))
	}
	g.trySend(appendReachAnswer(nil, upstream, age), from)
	return nil
}

// handleReachAnswer stores the answer of a peer.
func (g *Gossiper) handleReachAnswer(data []byte, from netip.AddrPort) error {
	if len(data) < minReachAnswerLength {
		return errInvalidDatagram
	}
	age := binary.BigEndian.Uint32(data[1:])
	if age != neverAnswered {
		g.reach.add(string(data[5:]), from, time.Now().Add(-time.Duration(age)*time.Millisecond))
	}
	return nil
}
