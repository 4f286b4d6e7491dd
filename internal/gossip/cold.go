package gossip

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxQueuedColds bounds the announcements of cold servers that wait to be sent, and the
	// requests for probes.
	maxQueuedColds = 64
	// maxRemoteCold bounds how long a server counts as cold because a peer says so.
	maxRemoteCold = time.Minute
	// minColdLength is the length of an encoded coldMessage without the server id.
	minColdLength = 1 + 4
)

// coldMessage tells that a server has stated that it is cold. It is encoded as the format,
// the time that it stays cold in milliseconds, big-endian, and the server id.
type coldMessage struct {
	server  string
	coldFor time.Duration
}

// append appends the encoded message to buffer.
func (m coldMessage) append(buffer []byte) []byte {
	buffer = append(buffer, formatCold)
	buffer = appendAge(buffer, m.coldFor)
	return append(buffer, m.server[:min(len(m.server), maxNameLength)]...)
}

// decodeCold decodes a coldMessage or returns errInvalidDatagram.
func decodeCold(data []byte) (coldMessage, error) {
	if len(data) <= minColdLength || data[0] != formatCold {
		return coldMessage{}, errInvalidDatagram
	}
	return coldMessage{
		server:  string(data[minColdLength:]),
		coldFor: min(decodeAge(data[1:]), maxRemoteCold),
	}, nil
}

// AnnounceCold queues for all peers that a server has stated that it stays cold for the given
// time. It never blocks: the announcement is dropped if the queue is full.
func (g *Gossiper) AnnounceCold(server string, coldFor time.Duration) {
	select {
	case g.colds <- coldMessage{server: server, coldFor: coldFor}:
	default:
		g.dropped.Add(1)
	}
}

// coldLoop sends the queued announcements of cold servers to all peers, and the queued requests
// for probes to some, until ctx ends.
func (g *Gossiper) coldLoop(ctx context.Context) {
	for {
		select {
		case m := <-g.colds:
			g.trySendAll(m.append(nil))
		case r := <-g.probeRequests:
			for _, peer := range g.firstEntries(r.server, r.entries) {
				g.trySend(r.append(nil), peer)
			}
		case <-ctx.Done():
			return
		}
	}
}

// handleCold records that a server has stated to a peer that it is cold.
func (g *Gossiper) handleCold(data []byte) error {
	m, err := decodeCold(data)
	if err != nil {
		return err
	}
	g.Fleet.RecordRemoteCold(m.server, m.coldFor, time.Now())
	return nil
}

// probeRequest asks some peers to probe a server that could not be reached. It is encoded
// as the format and the server id.
type probeRequest struct {
	server string
	// entries is how many entries are asked; it is not encoded.
	entries int
}

// append appends the encoded message to buffer.
func (r probeRequest) append(buffer []byte) []byte {
	buffer = append(buffer, formatProbeRequest)
	return append(buffer, r.server[:min(len(r.server), maxNameLength)]...)
}

// AskForProbes queues the request that the given number of entries, which may send the server
// requests while it is cold, probe it. It never blocks: the request is dropped if the queue is
// full.
func (g *Gossiper) AskForProbes(server string, entries int) {
	select {
	case g.probeRequests <- probeRequest{server: server, entries: entries}:
	default:
		g.dropped.Add(1)
	}
}

// handleProbeRequest records that a peer, which could not reach a server, asks for a probe.
func (g *Gossiper) handleProbeRequest(data []byte) error {
	if len(data) < 2 {
		return errInvalidDatagram
	}
	g.Fleet.RecordProbeRequest(string(data[1:]), time.Now())
	return nil
}

// firstEntries returns at most count other entries, those with the highest rendezvous weights
// for a server.
func (g *Gossiper) firstEntries(server string, count int) []netip.AddrPort {
	others, _ := g.members.known(time.Now())
	key := serverKey(server)
	slices.SortFunc(others, func(a, b netip.AddrPort) int { return cmp.Compare(keeperWeight(key, b), keeperWeight(key, a)) })
	return others[:min(count, len(others))]
}

// IsLearning reports whether other entries may not be listed yet, because this one has just
// learned of its peers.
func (g *Gossiper) IsLearning() bool {
	return g.members.isLearning(time.Now())
}
