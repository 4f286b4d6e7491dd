package quorum

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
)

// errWriterClosed reports a record that was queued after the writer was closed.
var errWriterClosed = errors.New("group log is closed")

// batch is the set of records that one sync makes durable.
type batch struct {
	rotation *rotation
	records  []byte
	// index and term are those of the newest log entry in the batch.
	index uint64
	term  uint64
	// done is closed after the sync; err is its result.
	done chan struct{}
	err  error
}

// rotation is a new snapshot and the content of the segment that continues after
// it.
type rotation struct {
	snapshot snapshot
	segment  []byte
}

// writer appends records to the current segment. It syncs all records that are
// queued during one sync with the next one (group commit).
type writer struct {
	folder disk.Folder
	file   disk.File
	// size is the number of bytes of file that are synced.
	size     int64
	onSynced func(*batch)

	mu sync.Mutex
	// pending collects new records; current is being written.
	pending *batch
	current *batch
	// segment is the number of the newest segment, including queued rotations.
	segment uint64
	// failed is the error after which nothing more is written.
	failed error
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}
}

// newWriter returns a writer that appends to the current segment of d. It calls
// onSynced after each batch.
func newWriter(folder disk.Folder, d *durableState, onSynced func(*batch)) *writer {
	return &writer{
		folder:   folder,
		file:     d.file,
		size:     d.size,
		onSynced: onSynced,
		segment:  d.snapshot.Segment,
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// append queues a record after all earlier ones.
func (w *writer) append(r record) error {
	payload, err := peer.Encode(r)
	if err != nil {
		return errors.Newf("encode record: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.openBatch()
	b.records = journal.AppendRecord(b.records, payload)
	if len(r.Entries) > 0 {
		b.index = r.Entries[len(r.Entries)-1].Index
		b.term = r.Term
	}
	return nil
}

// queueRotation queues a new snapshot and segment. The segment contains the records
// that are still queued, so that these are dropped.
func (w *writer) queueRotation(s snapshot, segment []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.segment++
	s.Segment = w.segment
	b := w.openBatch()
	b.rotation = &rotation{snapshot: s, segment: segment}
	b.records = nil
}

// openBatch returns the batch for new records and wakes the writer. The caller
// holds w.mu.
func (w *writer) openBatch() *batch {
	if w.pending == nil {
		w.pending = &batch{done: make(chan struct{})}
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return w.pending
}

// newest returns the batch whose sync makes all queued records durable, or nil if
// they are durable already.
func (w *writer) newest() *batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending != nil {
		return w.pending
	}
	return w.current
}

// wait returns once b is durable. It returns the error of the sync, or
// errWriterClosed if the writer has stopped. For a nil batch it returns the error
// of an earlier sync, if any.
func (w *writer) wait(b *batch) error {
	if b == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.failed
	}
	select {
	case <-b.done:
		return b.err
	case <-w.done:
	}
	select {
	case <-b.done:
		return b.err
	default:
		return errWriterClosed
	}
}

// close writes the pending batch and stops the writer.
func (w *writer) close() {
	close(w.stop)
	<-w.done
}

// run writes batches until close.
func (w *writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
			w.flush()
		case <-w.stop:
			w.flush()
			w.mu.Lock()
			w.failed = errWriterClosed
			w.mu.Unlock()
			w.flush()
			_ = w.file.Close()
			return
		}
	}
}

// flush writes the pending batch. After a failed write or sync nothing more is
// written until the log is opened again.
func (w *writer) flush() {
	w.mu.Lock()
	b := w.pending
	w.pending = nil
	w.current = b
	failed := w.failed
	w.mu.Unlock()
	if b == nil {
		return
	}
	b.err = failed
	if failed == nil {
		b.err = w.write(b)
	}
	w.mu.Lock()
	w.current = nil
	if w.failed == nil {
		w.failed = b.err
	}
	w.mu.Unlock()
	close(b.done)
	w.onSynced(b)
}

// write carries out the rotation of a batch, if any, then writes and syncs its
// records.
func (w *writer) write(b *batch) error {
	if b.rotation != nil {
		err := w.rotate(b.rotation)
		if err != nil {
			return errors.Newf("rotate group log: %w", err)
		}
	}
	if len(b.records) == 0 {
		return nil
	}
	err := w.writeRecords(b.records)
	if err != nil {
		// A later sync may succeed without having written these records.
		_ = w.file.Truncate(w.size)
		return err
	}
	w.size += int64(len(b.records))
	return nil
}

// writeRecords appends records to the segment and syncs it.
func (w *writer) writeRecords(records []byte) error {
	_, err := w.file.Write(records)
	if err != nil {
		return errors.Newf("write group log: %w", err)
	}
	err = w.file.Sync()
	if err != nil {
		return errors.Newf("sync group log: %w", err)
	}
	return nil
}

// rotate writes the segment and the snapshot and switches to the new segment. The
// rotation takes effect atomically when the snapshot file is renamed into place.
func (w *writer) rotate(r *rotation) error {
	name := segmentName(r.snapshot.Segment)
	err := w.folder.WriteFile(name, r.segment)
	if err != nil {
		return errors.Newf("write segment: %w", err)
	}
	data, err := encodeSnapshot(r.snapshot)
	if err != nil {
		return err
	}
	err = w.folder.WriteFile(snapshotFile, data)
	if err != nil {
		return errors.Newf("write snapshot: %w", err)
	}
	file, err := w.folder.Append(name)
	if err != nil {
		return errors.Newf("open segment: %w", err)
	}
	_ = w.file.Close()
	w.file = file
	w.size = int64(len(r.segment))
	return removeStaleSegments(w.folder, r.snapshot.Segment)
}
