package quorum

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	defaultSnapshotEntries = 4096
	// maxLogBytes is the size of the log in memory at which a snapshot is taken
	// regardless of the number of entries.
	maxLogBytes = 64 << 20
	// trailingDivisor determines the number of entries that remain in the log before
	// the index of a snapshot: SnapshotEntries divided by it. Members that lag
	// slightly then need no snapshot.
	trailingDivisor = 4

	snapshotProcedure = "/quorum/snapshot"
	// snapshotTimeout limits the call for one chunk.
	snapshotTimeout = 5 * time.Second
)

// snapshotRequest is the InstallSnapshot request of the Raft paper. It carries one
// chunk.
type snapshotRequest struct {
	Term          uint64        `cbor:"1,keyasint"`
	Leader        string        `cbor:"2,keyasint"`
	Index         uint64        `cbor:"3,keyasint"`
	IndexTerm     uint64        `cbor:"4,keyasint"`
	Configuration configuration `cbor:"5,keyasint"`
	// Offset is the position of Data in the snapshot, in bytes.
	Offset int64  `cbor:"6,keyasint,omitempty"`
	Data   []byte `cbor:"7,keyasint,omitempty"`
	// Last marks the last chunk.
	Last    bool `cbor:"8,keyasint,omitempty"`
	Learner bool `cbor:"9,keyasint,omitempty"`
	// To is the id of the member that the request is addressed to.
	To string `cbor:"10,keyasint,omitempty"`
}

// snapshotResponse is the response to a snapshotRequest.
type snapshotResponse struct {
	Term uint64 `cbor:"1,keyasint"`
	// Next is the offset of the next chunk that the member expects.
	Next int64 `cbor:"2,keyasint,omitempty"`
}

// incomingSnapshot collects the chunks of a snapshot that a leader of that term
// sends.
type incomingSnapshot struct {
	term  uint64
	index uint64
	data  []byte
}

// snapshotIfDue takes a snapshot and compacts the log if isSnapshotDue.
func (a *applier) snapshotIfDue() {
	n := a.node
	n.mu.Lock()
	index := n.applied
	due := n.failed == nil && index > n.log.base && n.isSnapshotDue(index)
	n.mu.Unlock()
	if !due {
		return
	}
	data, err := n.options.StateMachine.Snapshot()
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.fail(errors.Newf("take snapshot: %w", err))
		return
	}
	if n.pendingSnapshot != nil || index <= n.log.base {
		return
	}
	n.compact(index, data)
}

// isSnapshotDue reports whether the log has enough applied entries and is at least
// as large as the last snapshot, so that the cost of snapshots stays proportional
// to that of the log. A log of maxLogBytes is always due.
func (n *Node) isSnapshotDue(applied uint64) bool {
	many := applied >= n.log.base+uint64(n.options.SnapshotEntries)
	return many && n.log.size >= n.snapshotSize || n.log.size >= maxLogBytes
}

// compact stores data, the state after the entry at index, as the newest snapshot
// and drops older entries from the log. The caller holds n.mu.
func (n *Node) compact(index uint64, data []byte) {
	s := snapshot{Index: index, Data: data}
	n.snapshotSize = len(data)
	s.Term, _ = n.log.term(index)
	s.Configuration, _ = n.configurationAt(index)
	newBase := index
	if n.log.size < maxLogBytes {
		newBase -= min(newBase, uint64(n.options.SnapshotEntries/trailingDivisor))
	}
	if newBase > n.log.base {
		n.baseConfiguration, _ = n.configurationAt(newBase)
		n.log.compact(newBase)
	}
	n.queueRotation(s)
}

// queueRotation queues a snapshot and a new segment that starts at the base of the
// log.
func (n *Node) queueRotation(s snapshot) {
	newSegment, err := n.newSegment()
	if err != nil {
		n.fail(err)
		return
	}
	n.persistedCommit = n.commit
	n.writer.queueRotation(s, newSegment)
}

// newSegment returns the content of a new segment with all entries of the log.
func (n *Node) newSegment() ([]byte, error) {
	first := record{Term: n.term, Vote: n.vote, Commit: n.commit, Identity: &n.identity}
	first.Head = &segmentHead{Base: n.log.base, BaseTerm: n.log.baseTerm, Configuration: n.baseConfiguration}
	payload, err := peer.Encode(first)
	if err != nil {
		return nil, errors.Newf("encode head of segment: %w", err)
	}
	buffer := journal.AppendRecord(nil, payload)
	index := n.log.base
	for index < n.log.last() {
		entries := n.log.slice(index, n.log.last(), segmentRecordBytes)
		payload, err = peer.Encode(record{Term: n.term, Vote: n.vote, Commit: n.commit, Entries: entries})
		if err != nil {
			return nil, errors.Newf("encode segment: %w", err)
		}
		buffer = journal.AppendRecord(buffer, payload)
		index += uint64(len(entries))
	}
	return buffer, nil
}

// errStaleSnapshot reports a snapshot on disk that ends before the base of the log,
// because a newer one is still being written.
var errStaleSnapshot = errors.New("the snapshot on disk is older than the log")

// sendSnapshot sends the newest snapshot to a member that needs entries up to the
// base of the log, and reports whether more entries are to be sent at once.
func (p *replicator) sendSnapshot() (more bool, err error) {
	n := p.node
	data, err := n.options.Folder.ReadFile(snapshotFile)
	if err != nil {
		return false, errors.Newf("read snapshot: %w", err)
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return false, errors.Newf("read snapshot: %w", err)
	}
	offset := int64(0)
	for {
		end := min(offset+snapshotChunkBytes, s.Size)
		next, err := p.sendChunk(&s, offset, end)
		if err != nil {
			return false, err
		}
		if end == s.Size && next == end {
			break
		}
		if next < 0 || next > end {
			return false, errors.Newf("send snapshot chunk up to byte %d: unexpected next offset %d in the response: %w", end, next, peer.ErrInvalid)
		}
		offset = next
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != p.leadership {
		return false, nil
	}
	p.match = max(p.match, s.Index)
	p.next = p.match + 1
	n.advanceCommit()
	if p.next <= n.log.base {
		return false, errStaleSnapshot
	}
	return true, nil
}

// sendChunk sends the bytes from offset to end and returns the offset of the next
// chunk that the member expects.
func (p *replicator) sendChunk(s *snapshot, offset, end int64) (int64, error) {
	n := p.node
	n.mu.Lock()
	request := &snapshotRequest{
		Term:          n.term,
		Leader:        n.options.ID,
		Index:         s.Index,
		IndexTerm:     s.Term,
		Configuration: s.Configuration,
		Offset:        offset,
		Data:          s.Data[offset:end],
		Last:          end == s.Size,
		Learner:       p.member.Learner,
		To:            p.member.ID,
	}
	current := n.leadership == p.leadership
	round := p.leadership.readRounds
	address := p.member.Address
	n.mu.Unlock()
	if !current {
		return 0, errLeadershipLost
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, snapshotTimeout)
	defer cancel()
	response, err := peer.Call[snapshotRequest, snapshotResponse](ctx, n.options.Client, address, snapshotProcedure, request)
	if err != nil {
		return 0, errors.Newf("send snapshot: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !p.recordContact(response.Term, sent, round) {
		return 0, errLeadershipLost
	}
	return response.Next, nil
}

// serveSnapshot responds to a chunk of a snapshot after everything that it changed
// is synced.
func (n *Node) serveSnapshot(_ context.Context, request *snapshotRequest) (*snapshotResponse, error) {
	n.mu.Lock()
	err := n.checkLeaderRequest(request.To, request.Learner)
	if err != nil {
		n.mu.Unlock()
		return nil, err
	}
	response, err := n.handleSnapshot(request)
	if err != nil {
		n.mu.Unlock()
		return nil, errors.Newf("install snapshot: %w", err)
	}
	err = n.unlockAndSync()
	if err != nil {
		return nil, err
	}
	return &response, nil
}

// handleSnapshot collects one chunk and installs the snapshot after the last one.
// The response to a chunk at an unexpected offset names the expected offset. A
// snapshot that ends at or before the commit index is skipped. The caller holds n.mu.
func (n *Node) handleSnapshot(request *snapshotRequest) (snapshotResponse, error) {
	n.observeTerm(request.Term)
	if request.Term < n.term {
		return snapshotResponse{Term: n.term}, nil
	}
	err := n.followLeader(request.Leader)
	if err != nil {
		return snapshotResponse{}, err
	}
	if !n.identity.Admitted {
		n.admit(nil)
	}
	end := request.Offset + int64(len(request.Data))
	if request.Index <= n.commit {
		return snapshotResponse{Term: n.term, Next: end}, nil
	}
	in := &n.incoming
	if in.term != request.Term || in.index != request.Index {
		*in = incomingSnapshot{term: request.Term, index: request.Index}
	}
	if request.Offset != int64(len(in.data)) {
		return snapshotResponse{Term: n.term, Next: int64(len(in.data))}, nil
	}
	in.data = append(in.data, request.Data...)
	if request.Last {
		n.installSnapshot(request, in.data)
		n.incoming = incomingSnapshot{}
	}
	return snapshotResponse{Term: n.term, Next: end}, nil
}

// installSnapshot replaces the log up to the snapshot's index by the snapshot. If
// the log has another entry at that index, the whole log is replaced.
func (n *Node) installSnapshot(request *snapshotRequest, data []byte) {
	s := snapshot{Index: request.Index, Term: request.IndexTerm, Configuration: request.Configuration, Data: data}
	term, found := n.log.term(s.Index)
	if found && term == s.Term {
		n.log.compact(s.Index)
	} else {
		n.log.reset(s.Index, s.Term)
	}
	n.snapshotSize = len(data)
	n.baseConfiguration = s.Configuration
	n.commit = s.Index
	n.refreshConfiguration()
	n.pendingSnapshot = &s
	n.queueRotation(s)
	n.applier.signal()
}
