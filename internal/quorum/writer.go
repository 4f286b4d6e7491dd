package quorum

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
)

var errWriterClosed = errors.New("group log is closed")

// batch is what one sync makes durable.
type batch struct {
	rotation *rotation
	records  []byte
	// index and term are those of the newest entry in the batch.
	index uint64
	term  uint64
	done  chan struct{}
	err   error
}

// rotation replaces snapshot and log by newer ones.
type rotation struct {
	snapshot snapshot
	segment  []byte
}

// writer appends records to the log file and syncs many with one sync.
type writer struct {
	folder   disk.Folder
	file     disk.File
	onSynced func(*batch)

	mu      sync.Mutex
	pending *batch
	current *batch
	segment uint64
	failed  error
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

func newWriter(folder disk.Folder, file disk.File, segment uint64, onSynced func(*batch)) *writer {
	return &writer{
		folder:   folder,
		file:     file,
		onSynced: onSynced,
		segment:  segment,
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// append queues a record behind all earlier ones.
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

// rotate queues a new snapshot and segment; the segment holds all that was
// queued before.
func (w *writer) queueRotation(s snapshot, segment []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.segment++
	s.Segment = w.segment
	b := w.openBatch()
	b.rotation = &rotation{snapshot: s, segment: segment}
	b.records = nil
}

// open returns the batch that takes records and wakes the writer.
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

// newest returns the batch after which all that was queued is durable; nil
// means that it is already.
func (w *writer) newest() *batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending != nil {
		return w.pending
	}
	return w.current
}

// wait returns once b is durable.
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

func (w *writer) close() {
	close(w.stop)
	<-w.done
}

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

// flush writes the waiting batch. After a failure nothing is written again,
// because the file's content is unknown.
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
	_, err := w.file.Write(b.records)
	if err != nil {
		return errors.Newf("write group log: %w", err)
	}
	err = w.file.Sync()
	if err != nil {
		return errors.Newf("sync group log: %w", err)
	}
	return nil
}

// replace makes the snapshot and its segment durable; the snapshot's rename
// is the moment that counts.
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
	return removeStaleSegments(w.folder, r.snapshot.Segment)
}
