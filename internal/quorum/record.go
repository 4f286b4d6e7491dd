package quorum

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	snapshotFile  = "quorum.snapshot"
	segmentPrefix = "quorum-"
	segmentSuffix = ".log"

	// recordBytes bounds the entries in one record of a new segment.
	segmentRecordBytes = 1 << 20
	// chunkBytes bounds one part of a snapshot in a file or a message.
	snapshotChunkBytes = 1 << 20
)

// identity is what a member's folder knows of itself.
type identity struct {
	ID string `cbor:"1,keyasint"`
	// Folder is a random name of the folder's content: a lost disk comes back
	// with another one.
	Folder string `cbor:"2,keyasint"`
	// Admitted is set once the folder belongs to a group.
	Admitted bool `cbor:"3,keyasint,omitempty"`
	// First holds the folders of the group's first members by their ids.
	Initial map[string]string `cbor:"4,keyasint,omitempty"`
}

// head starts a segment: what the log held before it.
type segmentHead struct {
	Base          uint64        `cbor:"1,keyasint,omitempty"`
	BaseTerm      uint64        `cbor:"2,keyasint,omitempty"`
	Configuration configuration `cbor:"3,keyasint"`
}

// record is one synced change of a member's durable state. An entry replaces
// whatever stood at its index and after.
type record struct {
	Term     uint64       `cbor:"1,keyasint,omitempty"`
	Vote     string       `cbor:"2,keyasint,omitempty"`
	Commit   uint64       `cbor:"3,keyasint,omitempty"`
	Entries  []entry      `cbor:"4,keyasint,omitempty"`
	Identity *identity    `cbor:"5,keyasint,omitempty"`
	Head     *segmentHead `cbor:"6,keyasint,omitempty"`
}

// snapshot is the machine's state after the entry at Index.
type snapshot struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"`
	Configuration configuration `cbor:"3,keyasint"`
	// Segment is the number of the log file that goes on.
	Segment uint64 `cbor:"4,keyasint"`
	// Size is the length of the data in bytes.
	Size int64  `cbor:"5,keyasint"`
	Data []byte `cbor:"-"`
}

// durable is a member's state as read back from its folder.
type durableState struct {
	term        uint64
	vote        string
	commit      uint64
	identity    identity
	segmentHead segmentHead
	log         entryLog
	snapshot    snapshot
	file        disk.File
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%08d%s", segmentPrefix, number, segmentSuffix)
}

// load reads a member's folder, cuts a torn tail and removes files that a
// crash left behind.
func load(folder disk.Folder) (*durableState, error) {
	d := &durableState{}
	err := d.loadSnapshot(folder)
	if err != nil {
		return nil, err
	}
	err = d.loadSegment(folder)
	if err != nil {
		return nil, err
	}
	d.commit = max(d.commit, d.snapshot.Index)
	return d, removeStaleSegments(folder, d.snapshot.Segment)
}

func (d *durableState) loadSnapshot(folder disk.Folder) error {
	data, err := folder.ReadFile(snapshotFile)
	if errors.Is(err, disk.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Newf("read group snapshot: %w", err)
	}
	d.snapshot, err = decodeSnapshot(data)
	if err != nil {
		return errors.Newf("read group snapshot: %w", err)
	}
	return nil
}

func (d *durableState) loadSegment(folder disk.Folder) error {
	name := segmentName(d.snapshot.Segment)
	data, err := folder.ReadFile(name)
	if err != nil && (!errors.Is(err, disk.ErrNotExist) || d.snapshot.Segment > 0) {
		return errors.Newf("read group log: %w", err)
	}
	payloads, size, err := journal.Decode(data)
	if err != nil {
		return errors.Newf("read group log %s: %w", name, err)
	}
	err = d.replay(payloads)
	if err != nil {
		return errors.Newf("read group log %s: %w", name, err)
	}
	d.file, err = folder.Append(name)
	if err != nil {
		return errors.Newf("open group log: %w", err)
	}
	if size < int64(len(data)) {
		err = d.file.Truncate(size)
		if err != nil {
			return errors.Newf("cut torn tail of %s: %w", name, err)
		}
	}
	return nil
}

func (d *durableState) replay(payloads [][]byte) error {
	for _, payload := range payloads {
		var r record
		err := peer.Decode(payload, &r)
		if err != nil {
			return errors.Newf("decode record: %w", err)
		}
		err = d.applyRecord(r)
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *durableState) applyRecord(r record) error {
	if r.Identity != nil {
		d.identity = *r.Identity
	}
	if r.Head != nil {
		d.segmentHead = *r.Head
		d.log.reset(r.Head.Base, r.Head.BaseTerm)
	}
	d.term = r.Term
	d.vote = r.Vote
	d.commit = max(d.commit, r.Commit)
	for _, e := range r.Entries {
		if e.Index <= d.log.base || e.Index > d.log.last()+1 {
			return errors.Newf("entry %d does not follow %d: %w", e.Index, d.log.last(), journal.ErrDamaged)
		}
		d.log.replaceFrom(e)
	}
	return nil
}

func removeStaleSegments(folder disk.Folder, current uint64) error {
	names, err := folder.List()
	if err != nil {
		return errors.Newf("list group logs: %w", err)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) || name == segmentName(current) {
			continue
		}
		err = folder.Remove(name)
		if err != nil {
			return errors.Newf("remove old group log: %w", err)
		}
	}
	return nil
}

func encodeSnapshot(s snapshot) ([]byte, error) {
	s.Size = int64(len(s.Data))
	header, err := peer.Encode(s)
	if err != nil {
		return nil, errors.Newf("encode snapshot: %w", err)
	}
	buffer := journal.AppendRecord(nil, header)
	for start := 0; start < len(s.Data); start += snapshotChunkBytes {
		end := min(start+snapshotChunkBytes, len(s.Data))
		buffer = journal.AppendRecord(buffer, s.Data[start:end])
	}
	return buffer, nil
}

func decodeSnapshot(data []byte) (snapshot, error) {
	payloads, _, err := journal.Decode(data)
	if err != nil {
		return snapshot{}, err
	}
	if len(payloads) == 0 {
		return snapshot{}, errors.Newf("no header: %w", journal.ErrDamaged)
	}
	var s snapshot
	err = peer.Decode(payloads[0], &s)
	if err != nil {
		return snapshot{}, errors.Newf("header: %w", err)
	}
	for _, payload := range payloads[1:] {
		s.Data = append(s.Data, payload...)
	}
	if int64(len(s.Data)) != s.Size {
		return snapshot{}, errors.Newf("%d bytes instead of %d: %w", len(s.Data), s.Size, journal.ErrDamaged)
	}
	return s, nil
}
