package gossip

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// copies is how many other entries are told where a stream began.
	copies = 2
	// askedKeepers is how many entries are asked first. It exceeds copies by one,
	// because the entry where the stream began may be among them.
	askedKeepers = copies + 1
	// streamAnswerTimeout is how long a query waits for the answers to one
	// attempt. It exceeds the round trip to another failure domain.
	streamAnswerTimeout = 25 * time.Millisecond
	// allPeersTimeout is how long a query to all peers waits for answers.
	allPeersTimeout = 100 * time.Millisecond
	// lateAnswerTime is how long answers that come too late for their query are still
	// stored, for a repeated one.
	lateAnswerTime = time.Second
	// keeperAttempts is how often a keeper that doesn't answer is asked.
	keeperAttempts = 2
	// maxStreamQueries bounds the queries that wait for answers.
	maxStreamQueries = 1024
	// maxAttemptLength and maxOriginLength bound the names in a message, in
	// bytes.
	maxAttemptLength = 64
	maxOriginLength  = 128

	minStreamAnnouncementLength = 1 + 1
	minStreamQueryLength        = 1 + 8
	minStreamAnswerLength       = 1 + 8
)

// streamAnnouncement states where the stream of an attempt began. It is encoded as the
// format, the length and bytes of the attempt id and the origin.
type streamAnnouncement struct {
	attempt string
	origin  string
}

// append appends the encoded message to buffer.
func (a streamAnnouncement) append(buffer []byte) []byte {
	buffer = append(buffer, formatStreamAnnouncement, byte(len(a.attempt)))
	buffer = append(buffer, a.attempt...)
	return append(buffer, a.origin...)
}

// decodeStreamAnnouncement decodes a streamAnnouncement or returns
// errInvalidDatagram.
func decodeStreamAnnouncement(data []byte) (streamAnnouncement, error) {
	if len(data) < minStreamAnnouncementLength || data[0] != formatStreamAnnouncement {
		return streamAnnouncement{}, errInvalidDatagram
	}
	length := int(data[1])
	data = data[minStreamAnnouncementLength:]
	if len(data) < length {
		return streamAnnouncement{}, errInvalidDatagram
	}
	a := streamAnnouncement{attempt: string(data[:length]), origin: string(data[length:])}
	if !validAttempt(a.attempt) || !validOrigin(a.origin) {
		return streamAnnouncement{}, errInvalidDatagram
	}
	return a, nil
}

// streamQuery asks where the stream of an attempt began. It is encoded as the format,
// the id of the query and the attempt id. Numbers are big-endian.
type streamQuery struct {
	id      uint64
	attempt string
}

// append appends the encoded message to buffer.
func (q streamQuery) append(buffer []byte) []byte {
	buffer = append(buffer, formatStreamQuery)
	buffer = binary.BigEndian.AppendUint64(buffer, q.id)
	return append(buffer, q.attempt...)
}

// decodeStreamQuery decodes a streamQuery or returns errInvalidDatagram.
func decodeStreamQuery(data []byte) (streamQuery, error) {
	if len(data) < minStreamQueryLength || data[0] != formatStreamQuery {
		return streamQuery{}, errInvalidDatagram
	}
	q := streamQuery{id: binary.BigEndian.Uint64(data[1:]), attempt: string(data[minStreamQueryLength:])}
	if !validAttempt(q.attempt) {
		return streamQuery{}, errInvalidDatagram
	}
	return q, nil
}

// streamAnswer answers a streamQuery; the origin is empty if the entry doesn't
// know it. It is encoded as the format, the id of the query and the origin.
// Numbers are big-endian.
type streamAnswer struct {
	id     uint64
	origin string
}

// append appends the encoded message to buffer.
func (a streamAnswer) append(buffer []byte) []byte {
	buffer = append(buffer, formatStreamAnswer)
	buffer = binary.BigEndian.AppendUint64(buffer, a.id)
	return append(buffer, a.origin...)
}

// decodeStreamAnswer decodes a streamAnswer or returns errInvalidDatagram.
func decodeStreamAnswer(data []byte) (streamAnswer, error) {
	if len(data) < minStreamAnswerLength || data[0] != formatStreamAnswer {
		return streamAnswer{}, errInvalidDatagram
	}
	a := streamAnswer{id: binary.BigEndian.Uint64(data[1:]), origin: string(data[minStreamAnswerLength:])}
	if len(a.origin) > maxOriginLength {
		return streamAnswer{}, errInvalidDatagram
	}
	return a, nil
}

// validAttempt reports whether a message can carry an attempt id.
func validAttempt(attempt string) bool {
	return attempt != "" && len(attempt) <= maxAttemptLength
}

// validOrigin reports whether a message can carry an origin.
func validOrigin(origin string) bool {
	return origin != "" && len(origin) <= maxOriginLength
}

// receivedAnswer is the origin in one entry's answer to a query, or empty.
type receivedAnswer struct {
	from   netip.AddrPort
	origin string
}

// streamQueries tracks the queries of this entry that wait for answers. The zero
// value is ready to use.
type streamQueries struct {
	mu      sync.Mutex
	pending map[uint64]*pendingQuery
}

// pendingQuery is a query for the origin of an attempt, which waits for answers or did a
// short time ago.
type pendingQuery struct {
	attempt string
	answers chan receivedAnswer
}

// open returns the id of a new query for an attempt and a channel that holds up to
// capacity answers to it. It returns false if too many queries wait.
func (s *streamQueries) open(attempt string, capacity int) (uint64, chan receivedAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxStreamQueries {
		return 0, nil, false
	}
	if s.pending == nil {
		s.pending = make(map[uint64]*pendingQuery)
	}
	id := rand.Uint64()
	answers := make(chan receivedAnswer, capacity)
	s.pending[id] = &pendingQuery{attempt: attempt, answers: answers}
	return id, answers, true
}

// close ends a query, whose later answers are ignored.
func (s *streamQueries) close(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// answer passes an answer to its query and returns the query's attempt. It returns false
// for an unknown query, and drops an answer beyond the capacity, which can only be a
// repeated one.
func (s *streamQueries) answer(id uint64, a receivedAnswer) (attempt string, known bool) {
	s.mu.Lock()
	query := s.pending[id]
	s.mu.Unlock()
	if query == nil {
		return "", false
	}
	select {
	case query.answers <- a:
	default:
	}
	return query.attempt, true
}

// Began records the origin of the stream of a caller's attempt and tells the
// entries that keep a copy. It never blocks; an empty or overlong attempt or origin is
// not recorded.
func (g *Gossiper) Began(attempt, origin string) {
	if !validAttempt(attempt) || !validOrigin(origin) {
		return
	}
	kept := g.remember(attempt, origin)
	data := streamAnnouncement{attempt: attempt, origin: kept}.append(nil)
	for _, keeper := range keepers(attempt, g.peerAddresses(), copies) {
		g.trySend(data, keeper)
	}
}

// OriginOf returns the origin of the stream of an attempt, from this entry's memory, or
// else from the entries that keep a copy, or else from all peers. known is false if no
// entry says so in time.
func (g *Gossiper) OriginOf(ctx context.Context, attempt string) (origin string, known bool) {
	if !validAttempt(attempt) {
		return "", false
	}
	origin, known = g.origins.lookup(attempt, time.Now())
	if known {
		return origin, true
	}
	origin = g.queryPeers(ctx, attempt)
	if origin != "" {
		return g.remember(attempt, origin), true
	}
	// An announcement may have arrived during the query.
	return g.origins.lookup(attempt, time.Now())
}

// remember stores the origin of an attempt and returns the origin kept, which
// is the first one stored.
func (g *Gossiper) remember(attempt, origin string) string {
	kept := g.origins.add(attempt, origin, time.Now())
	if kept != origin {
		g.Log.Debug("a stream was announced at a second origin, which is ignored", "attempt", attempt, "kept", kept, "ignored", origin)
	}
	return kept
}

// queryPeers asks first the keepers of an attempt and then all peers for its
// origin. It returns an empty origin if none knows it.
func (g *Gossiper) queryPeers(ctx context.Context, attempt string) string {
	peers := g.peerAddresses()
	asked := keepers(attempt, peers, askedKeepers)
	id, answers, ok := g.queries.open(attempt, len(peers)+keeperAttempts*len(asked))
	if !ok {
		return ""
	}
	defer time.AfterFunc(lateAnswerTime, func() { g.queries.close(id) })
	data := streamQuery{id: id, attempt: attempt}.append(nil)
	for range keeperAttempts {
		var origin string
		origin, asked = g.ask(ctx, data, asked, answers, streamAnswerTimeout)
		if origin != "" {
			return origin
		}
	}
	origin, _ := g.ask(ctx, data, peers, answers, allPeersTimeout)
	return origin
}

// ask sends an encoded query to entries and waits up to timeout. It returns the first
// origin answered, or else the entries that didn't answer.
func (g *Gossiper) ask(ctx context.Context, query []byte, entries []netip.AddrPort, answers <-chan receivedAnswer, timeout time.Duration) (string, []netip.AddrPort) {
	if ctx.Err() != nil || len(entries) == 0 {
		return "", entries
	}
	for _, entry := range entries {
		g.trySend(query, entry)
	}
	silent := slices.Clone(entries)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for len(silent) > 0 {
		select {
		case a := <-answers:
			if a.origin != "" {
				return a.origin, nil
			}
			silent = slices.DeleteFunc(silent, func(entry netip.AddrPort) bool { return entry == a.from })
		case <-timer.C:
			return "", silent
		case <-ctx.Done():
			return "", silent
		}
	}
	return "", nil
}

// handleStreamAnnouncement stores the origin that a peer announces.
func (g *Gossiper) handleStreamAnnouncement(data []byte) error {
	a, err := decodeStreamAnnouncement(data)
	if err != nil {
		return err
	}
	g.remember(a.attempt, a.origin)
	return nil
}

// handleStreamQuery answers a query from this entry's memory.
func (g *Gossiper) handleStreamQuery(data []byte, from netip.AddrPort) error {
	q, err := decodeStreamQuery(data)
	if err != nil {
		return err
	}
	origin, _ := g.origins.lookup(q.attempt, time.Now())
	g.trySend(streamAnswer{id: q.id, origin: origin}.append(nil), from)
	return nil
}

// handleStreamAnswer passes an answer to the query that waits for it, and stores the
// origin for a repeated query.
func (g *Gossiper) handleStreamAnswer(data []byte, from netip.AddrPort) error {
	a, err := decodeStreamAnswer(data)
	if err != nil {
		return err
	}
	attempt, known := g.queries.answer(a.id, receivedAnswer{from: from, origin: a.origin})
	if known && a.origin != "" {
		g.remember(attempt, a.origin)
	}
	return nil
}

// keepers returns the count peers with the highest rendezvous weights for an
// attempt, the highest first. The entry where a stream began has copies kept by
// the first copies of its peers. Any other entry finds those among the first
// askedKeepers of all entries, whether or not it still counts the first entry.
func keepers(attempt string, peers []netip.AddrPort, count int) []netip.AddrPort {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(attempt))
	key := hash.Sum64()
	chosen := make([]netip.AddrPort, 0, count+1)
	weights := make([]uint64, 0, count+1)
	for _, peer := range peers {
		weight := keeperWeight(key, peer)
		i := len(weights)
		for i > 0 && weights[i-1] < weight {
			i--
		}
		if i == count {
			continue
		}
		chosen = slices.Insert(chosen, i, peer)
		weights = slices.Insert(weights, i, weight)
		chosen = chosen[:min(count, len(chosen))]
		weights = weights[:min(count, len(weights))]
	}
	return chosen
}

// keeperWeight returns the rendezvous weight of an entry for the hash of an
// attempt.
func keeperWeight(key uint64, entry netip.AddrPort) uint64 {
	address := entry.Addr().As16()
	high := binary.BigEndian.Uint64(address[:8])
	low := binary.BigEndian.Uint64(address[8:])
	return mix(mix(mix(high^uint64(entry.Port()))^low) ^ mix(key))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
