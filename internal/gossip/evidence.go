package gossip

import (
	"context"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/quarantine"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// evidenceBatchDelay lets evidence that arises together share a datagram.
	evidenceBatchDelay = 20 * time.Millisecond
	// evidenceInterval is the time between two repetitions of evidence, each to
	// evidencePeers random peers. An entry that has just joined, or was cut off, so
	// learns it within a second, however many entries there are.
	evidenceInterval = 250 * time.Millisecond
	evidencePeers    = 3
	// maxEvidence is the number of pieces in a datagram, and maxQueuedEvidence of those
	// that wait to be sent.
	maxEvidence       = 32
	maxQueuedEvidence = 4 * maxEvidence

	// A piece of evidence is encoded as its kind, the key, the server, the age and the
	// time since the request was sent, both in milliseconds. The server and the last are 0
	// but for a crash. requestKey is added to the kind if the key is a request. Numbers are
	// big-endian.
	evidenceLength = 1 + 8 + 8 + 4 + 4
	kindCrash      = 1
	kindProgress   = 2
	kindVerdict    = 3
	requestKey     = 1 << 7
)

// appendEvidence appends an encoded message of at most maxEvidence pieces to buffer: the
// format and the pieces.
func appendEvidence(buffer []byte, evidence []quarantine.Evidence) []byte {
	buffer = append(buffer, formatEvidence)
	for _, e := range evidence {
		switch e := e.(type) {
		case quarantine.Crash:
			buffer = appendPiece(buffer, kindCrash, e.Key, e.Server, e.Age, e.SentAge)
		case quarantine.Progress:
			buffer = appendPiece(buffer, kindProgress, e.Key, 0, e.Age, 0)
		case quarantine.Verdict:
			buffer = appendPiece(buffer, kindVerdict, e.Key, 0, e.Age, 0)
		}
	}
	return buffer
}

// appendPiece appends one encoded piece of evidence.
func appendPiece(buffer []byte, kind byte, key quarantine.Key, server uint64, age, sentAge time.Duration) []byte {
	var number uint64
	switch key := key.(type) {
	case quarantine.Segment:
		number = uint64(key)
	case quarantine.Request:
		number = uint64(key)
		kind |= requestKey
	}
	buffer = append(buffer, kind)
	buffer = binary.BigEndian.AppendUint64(buffer, number)
	buffer = binary.BigEndian.AppendUint64(buffer, server)
	buffer = appendAge(buffer, age)
	return appendAge(buffer, sentAge)
}

// appendAge appends an age in milliseconds, as far as it fits.
func appendAge(buffer []byte, age time.Duration) []byte {
	return binary.BigEndian.AppendUint32(buffer, uint32(min(max(0, age.Milliseconds()), math.MaxUint32)))
}

// decodeAge decodes an age of appendAge.
func decodeAge(data []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint32(data)) * time.Millisecond
}

// decodeEvidence decodes a message of evidence or returns errInvalidDatagram.
func decodeEvidence(data []byte) ([]quarantine.Evidence, error) {
	if len(data) <= 1 || data[0] != formatEvidence || (len(data)-1)%evidenceLength != 0 {
		return nil, errInvalidDatagram
	}
	var evidence []quarantine.Evidence
	for data = data[1:]; len(data) > 0; data = data[evidenceLength:] {
		key := decodeKey(data)
		age := decodeAge(data[17:])
		switch data[0] &^ requestKey {
		case kindCrash:
			evidence = append(evidence, quarantine.Crash{Key: key, Server: binary.BigEndian.Uint64(data[9:]), Age: age, SentAge: decodeAge(data[21:])})
		case kindProgress:
			evidence = append(evidence, quarantine.Progress{Key: key, Age: age})
		case kindVerdict:
			evidence = append(evidence, quarantine.Verdict{Key: key, Age: age})
		default:
			return nil, errInvalidDatagram
		}
	}
	return evidence, nil
}

// decodeKey decodes the key of an encoded piece of evidence.
func decodeKey(piece []byte) quarantine.Key {
	number := binary.BigEndian.Uint64(piece[1:])
	if piece[0]&requestKey != 0 {
		return quarantine.Request(number)
	}
	return quarantine.Segment(number)
}

// evidenceQueue holds the evidence that waits to be sent to all peers.
type evidenceQueue struct {
	mu      sync.Mutex
	waiting []quarantine.Evidence
	wake    chan struct{}
}

// start prepares the queue for use.
func (q *evidenceQueue) start() {
	q.wake = make(chan struct{}, 1)
}

// add adds evidence, as far as there is room, and returns the number of pieces dropped.
func (q *evidenceQueue) add(evidence []quarantine.Evidence) (dropped int) {
	q.mu.Lock()
	room := min(len(evidence), maxQueuedEvidence-len(q.waiting))
	q.waiting = append(q.waiting, evidence[:room]...)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(evidence) - room
}

// take returns and removes all evidence.
func (q *evidenceQueue) take() []quarantine.Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	evidence := q.waiting
	q.waiting = nil
	return evidence
}

// AnnounceEvidence queues evidence for all peers. It never blocks: what exceeds the queue
// is dropped, and repeated later. It may be called once the gossiper has started.
func (g *Gossiper) AnnounceEvidence(evidence []quarantine.Evidence) {
	g.dropped.Add(int64(g.evidence.add(evidence)))
}

// evidenceLoop sends queued evidence to all peers, and repeats what is known to random
// ones, until ctx ends.
func (g *Gossiper) evidenceLoop(ctx context.Context) {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.evidence.wake:
			sleep.For(ctx, evidenceBatchDelay)
			g.sendQueuedEvidence()
		case <-ticker.C:
			g.repeatEvidence()
		case <-ctx.Done():
			return
		}
	}
}

// sendQueuedEvidence sends the queued evidence to all peers.
func (g *Gossiper) sendQueuedEvidence() {
	evidence := g.evidence.take()
	for len(evidence) > 0 {
		count := min(maxEvidence, len(evidence))
		data := appendEvidence(nil, evidence[:count])
		evidence = evidence[count:]
		g.trySendAll(data)
	}
}

// repeatEvidence sends a sample of the evidence to random peers.
func (g *Gossiper) repeatEvidence() {
	if g.Evidence == nil {
		return
	}
	evidence := g.Evidence.Sample(maxEvidence, time.Now())
	if len(evidence) == 0 {
		return
	}
	data := appendEvidence(nil, evidence)
	for _, peer := range g.randomPeers(evidencePeers) {
		g.trySend(data, peer)
	}
}

// handleEvidence records the evidence that a peer shares.
func (g *Gossiper) handleEvidence(data []byte) error {
	evidence, err := decodeEvidence(data)
	if err == nil && g.Evidence != nil {
		g.Evidence.Merge(evidence, time.Now())
	}
	return err
}
