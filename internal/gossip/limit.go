package gossip

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// maxQueuedLimits bounds the statements about limits that wait to be sent.
	maxQueuedLimits = 64
	// learningTime is how long an entry that has just learned of its peers counts at
	// least assumedEntries, because others may not be listed yet.
	learningTime   = 4 * time.Second
	assumedEntries = 16
	// memberMemory is how long an entry still counts that is no longer listed: a control
	// instance that has just started lists few.
	memberMemory = 30 * time.Second

	// minLimitLength is the length of an encoded limitMessage without the server id.
	minLimitLength = 1 + 1 + 8 + 4
)

// limitMessage tells what a server has stated about its limit. It is encoded as the
// format, a byte that is 1 if the server names a limit, the limit in requests a second as
// a float, the age in milliseconds and the server id. Numbers are big-endian.
type limitMessage struct {
	server string
	limit  place.Limit
	age    time.Duration
}

// append appends the encoded message to buffer.
func (m limitMessage) append(buffer []byte) []byte {
	named := byte(0)
	if m.limit.Named {
		named = 1
	}
	buffer = append(buffer, formatLimit, named)
	buffer = binary.BigEndian.AppendUint64(buffer, math.Float64bits(m.limit.PerSecond))
	buffer = appendAge(buffer, m.age)
	return append(buffer, m.server[:min(len(m.server), maxNameLength)]...)
}

// decodeLimit decodes a limitMessage or returns errInvalidDatagram.
func decodeLimit(data []byte) (limitMessage, error) {
	if len(data) <= minLimitLength || data[0] != formatLimit || data[1] > 1 {
		return limitMessage{}, errInvalidDatagram
	}
	perSecond := math.Float64frombits(binary.BigEndian.Uint64(data[2:]))
	if !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return limitMessage{}, errInvalidDatagram
	}
	return limitMessage{
		server: string(data[minLimitLength:]),
		limit:  place.Limit{Named: data[1] == 1, PerSecond: perSecond},
		age:    decodeAge(data[10:]),
	}, nil
}

// AnnounceLimit queues what a server stated about its limit, the given time ago, for all
// peers. It never blocks: the announcement is dropped if the queue is full.
func (g *Gossiper) AnnounceLimit(server string, limit place.Limit, age time.Duration) {
	select {
	case g.limits <- limitMessage{server: server, limit: limit, age: age}:
	default:
		g.dropped.Add(1)
	}
}

// limitLoop sends the queued statements about limits to all peers until ctx ends.
func (g *Gossiper) limitLoop(ctx context.Context) {
	for {
		select {
		case m := <-g.limits:
			g.trySendAll(m.append(nil))
		case <-ctx.Done():
			return
		}
	}
}

// handleLimit records what a server has stated to a peer.
func (g *Gossiper) handleLimit(data []byte) error {
	m, err := decodeLimit(data)
	if err != nil {
		return err
	}
	now := time.Now()
	g.Fleet.RecordRemoteLimit(m.server, m.limit, now.Add(-m.age), now)
	return nil
}

// LimitShare returns the part, from 0 to 1, of the limit of a server that this entry may
// use. If there are more than maxEntries, those with the highest rendezvous weights for
// the server use it. An entry that has just started, or knows no other, uses no more than
// its part among assumedEntries.
func (g *Gossiper) LimitShare(server string, maxEntries int) float64 {
	others, learning := g.members.known(time.Now())
	count := len(others) + 1
	if g.Entries != nil {
		count = max(count, g.Entries())
	}
	if learning {
		return 1 / float64(max(count, assumedEntries))
	}
	if count <= maxEntries {
		return 1 / float64(count)
	}
	if g.rankAmong(others, server) >= maxEntries {
		return 0
	}
	return 1 / float64(maxEntries)
}

// rankAmong returns how many of the other entries have a higher rendezvous weight for a
// server than this one.
func (g *Gossiper) rankAmong(others []netip.AddrPort, server string) int {
	own, err := netip.ParseAddrPort(g.Address)
	if err != nil {
		return len(others)
	}
	key := serverKey(server)
	weight := keeperWeight(key, own)
	rank := 0
	for _, other := range others {
		if keeperWeight(key, other) > weight {
			rank++
		}
	}
	return rank
}

// serverKey hashes the id of a server for rendezvous hashing.
func serverKey(server string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(server))
	return hash.Sum64()
}

// memberHistory remembers the other entries that were listed. Its zero value is ready to
// use.
type memberHistory struct {
	mu sync.Mutex
	// since is when entries were first listed.
	since time.Time
	// listed holds until when each entry was listed; zero while it still is.
	listed map[netip.AddrPort]time.Time
}

// update records the entries that are listed now.
func (h *memberHistory) update(peers []netip.AddrPort, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed == nil {
		h.since = now
		h.listed = make(map[netip.AddrPort]time.Time)
	}
	for entry, until := range h.listed {
		if until.IsZero() {
			h.listed[entry] = now
		}
	}
	for _, peer := range peers {
		h.listed[peer] = time.Time{}
	}
}

// known returns the entries that are listed or were within memberMemory. learning is set
// if others may not be listed yet.
func (h *memberHistory) known(now time.Time) (others []netip.AddrPort, learning bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	others = make([]netip.AddrPort, 0, len(h.listed))
	for entry, until := range h.listed {
		if !until.IsZero() && now.Sub(until) > memberMemory {
			delete(h.listed, entry)
			continue
		}
		others = append(others, entry)
	}
	return others, h.isLearningLocked(now)
}

// isLearning reports whether others may not be listed yet.
func (h *memberHistory) isLearning(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isLearningLocked(now)
}

// isLearningLocked is isLearning for a caller that holds mu.
func (h *memberHistory) isLearningLocked(now time.Time) bool {
	return h.listed == nil || now.Sub(h.since) < learningTime
}
