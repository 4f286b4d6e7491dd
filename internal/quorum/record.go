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

	// segmentRecordBytes limits the entries in one record of a new segment.
	segmentRecordBytes = 1 << 20
	// snapshotChunkBytes limits one chunk of a snapshot in a file or a message.
	snapshotChunkBytes = 1 << 20
)

// identity identifies a member's data folder.
type identity struct {
	ID string `cbor:"1,keyasint"`
	// Folder is a random name for the content of the folder. A folder on a replaced
	// disk gets another name.
	Folder string `cbor:"2,keyasint"`
	// Admitted is set once the folder is part of a group.
	Admitted bool `cbor:"3,keyasint,omitempty"`
	// Initial maps the ids of the group's initial members to the names of their
	// folders. It is empty for a member that was added later.
	Initial map[string]string `cbor:"4,keyasint,omitempty"`
}

// segmentHead is in the first record of a segment. It holds the base of the log
// and the configuration at the base.
type segmentHead struct {
	Base          uint64        `cbor:"1,keyasint,omitempty"`
	BaseTerm      uint64        `cbor:"2,keyasint,omitempty"`
	Configuration configuration `cbor:"3,keyasint"`
}

// record is one change of a member's durable state. An entry replaces all earlier
// entries at its index and after it.
type record struct {
	Term     uint64       `cbor:"1,keyasint,omitempty"`
	Vote     string       `cbor:"2,keyasint,omitempty"`
	Commit   uint64       `cbor:"3,keyasint,omitempty"`
	Entries  []entry      `cbor:"4,keyasint,omitempty"`
	Identity *identity    `cbor:"5,keyasint,omitempty"`
	Head     *segmentHead `cbor:"6,keyasint,omitempty"`
}

// snapshot is the state machine's state after the entry at Index was applied.
type snapshot struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"`
	Configuration configuration `cbor:"3,keyasint"`
	// Segment is the number of the log file that continues after the snapshot.
	Segment uint64 `cbor:"4,keyasint"`
	// Size is the length of Data in bytes.
	Size int64  `cbor:"5,keyasint"`
	Data []byte `cbor:"-"`
}

// durableState is a member's state as read from its data folder.
type durableState struct {
	term        uint64
	vote        string
	commit      uint64
	identity    identity
	segmentHead segmentHead
	log         entryLog
	snapshot    snapshot
	// file is the current segment, open for appending, and size its size in bytes.
	file disk.File
	size int64
}

// segmentName returns the file name of a segment.
func segmentName(number uint64) string {
	return fmt.Sprintf("%s%08d%s", segmentPrefix, number, segmentSuffix)
}

// load reads a member's data folder and syncs its log. It truncates an incomplete record at the end
// of the log and removes segments that a crash left behind. Damage elsewhere is
// an error that wraps journal.ErrDamaged.
func load(folder disk.Folder) (*durableState, error) {
	d := &durableState{}
	err := d.loadSnapshot(folder)
	if err != nil {
		return nil, err
	}
	err = d.loadSegment(folder)
	if err != nil {
		d.close()
		return nil, err
	}
	d.commit = max(d.commit, d.snapshot.Index)
	err = removeStaleSegments(folder, d.snapshot.Segment)
	if err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// close closes the current segment, if it is open.
func (d *durableState) close() {
	if d.file != nil {
		_ = d.file.Close()
	}
}

// loadSnapshot reads the snapshot file, if there is one.
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

// loadSegment reads the segment that belongs to the snapshot and opens it for
// appending. Only the first segment, before any snapshot, may be absent.
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
			return errors.Newf("truncate incomplete record at the end of %s: %w", name, err)
		}
	}
	// A process that was killed may have written records without syncing them.
	err = d.file.Sync()
	if err != nil {
		return errors.Newf("sync group log %s: %w", name, err)
	}
	d.size = size
	return nil
}

// replay applies the records of a segment in order.
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

// applyRecord applies one record. An entry that leaves a gap in the log is an
// error that wraps journal.ErrDamaged.
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
			return errors.Newf("log entry %d does not follow entry %d: %w", e.Index, d.log.last(), journal.ErrDamaged)
		}
		d.log.replaceFrom(e)
	}
	return nil
}

// removeStaleSegments removes all segments but the current one.
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

// encodeSnapshot returns the content of a snapshot file: a header record and the
// data in chunks.
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

// decodeSnapshot reads the content of a snapshot file. An incomplete file is an
// error that wraps journal.ErrDamaged.
func decodeSnapshot(data []byte) (snapshot, error) {
	payloads, _, err := journal.Decode(data)
	if err != nil {
		return snapshot{}, err
	}
	if len(payloads) == 0 {
		return snapshot{}, errors.Newf("snapshot has no header: %w", journal.ErrDamaged)
	}
	var s snapshot
	err = peer.Decode(payloads[0], &s)
	if err != nil {
		return snapshot{}, errors.Newf("decode snapshot header: %w", err)
	}
	for _, payload := range payloads[1:] {
		s.Data = append(s.Data, payload...)
	}
	if int64(len(s.Data)) != s.Size {
		return snapshot{}, errors.Newf("snapshot has %d bytes of data instead of %d: %w", len(s.Data), s.Size, journal.ErrDamaged)
	}
	return s, nil
}
