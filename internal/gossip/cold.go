package gossip

import (
	"context"
	"time"
)

const (
	// maxQueuedColds bounds the announcements of cold servers that wait to be sent.
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

// coldLoop sends the queued announcements of cold servers to all peers until ctx ends.
func (g *Gossiper) coldLoop(ctx context.Context) {
	for {
		select {
		case m := <-g.colds:
			g.trySendAll(m.append(nil))
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

// IsLearning reports whether other entries may not be listed yet, because this one has just
// learned of its peers.
func (g *Gossiper) IsLearning() bool {
	_, learning := g.members.known(time.Now())
	return learning
}
