// Package journal stores checksummed records in an append-only file. It syncs all
// waiting appends with one sync (group commit).
package journal

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
)

const (
	// queueCapacity limits the waiting appends and barriers.
	queueCapacity = 1024
	// maxBatchBytes is the size of payloads at which a batch is full.
	maxBatchBytes = 4 << 20
)

// ErrFull reports that the queue of waiting appends is full. The call can be
// repeated later.
var ErrFull = errors.New("journal has too many waiting appends: retry later")

// ErrClosed reports an append after Close or after a failed sync.
var ErrClosed = errors.New("journal is closed")

// Journal is one append-only file and the goroutine that writes it. Its methods may
// be called concurrently.
type Journal struct {
	folder    disk.Folder
	name      string
	pending   chan appendRequest
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// failed is the error that all further appends return.
	failed error
	// size is the size of the file in bytes.
	size  int64
	syncs uint64
}

// appendRequest is a queued append, or a barrier if payload is nil.
type appendRequest struct {
	payload []byte
	result  chan error
}

// Open opens the file called name, creating it if absent, and returns the journal
// and the payloads of its records, which it syncs. It truncates an incomplete record at
// the end of the file. Damage elsewhere is an error that wraps ErrDamaged. The caller must
// call Close.
func Open(folder disk.Folder, name string) (*Journal, [][]byte, error) {
	data, err := folder.ReadFile(name)
	if err != nil && !errors.Is(err, disk.ErrNotExist) {
		return nil, nil, errors.Newf("open journal %s: %w", name, err)
	}
	records, size, err := Decode(data)
	if err != nil {
		return nil, nil, errors.Newf("open journal %s: %w", name, err)
	}
	file, err := folder.Append(name)
	if err != nil {
		return nil, nil, errors.Newf("open journal %s: %w", name, err)
	}
	if size < int64(len(data)) {
		err = file.Truncate(size)
		if err != nil {
			_ = file.Close()
			return nil, nil, errors.Newf("truncate incomplete record at the end of %s: %w", name, err)
		}
	}
	// A process that was killed may have written records without syncing them.
	err = file.Sync()
	if err != nil {
		_ = file.Close()
		return nil, nil, errors.Newf("sync journal %s: %w", name, err)
	}
	j := &Journal{
		folder:  folder,
		name:    name,
		pending: make(chan appendRequest, queueCapacity),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		size:    size,
	}
	go j.run(file)
	return j, records, nil
}

// Append queues a record. The channel receives one value: nil once the record is
// synced, or an error. The caller must not modify payload before that.
func (j *Journal) Append(payload []byte) <-chan error {
	result := make(chan error, 1)
	if len(payload) == 0 || len(payload) > MaxRecordBytes {
		result <- ErrTooLarge
		return result
	}
	j.enqueue(appendRequest{payload: payload, result: result})
	return result
}

// CheckAppend returns the error that an Append of payload would return now. If all
// calls of Append and Barrier come from one goroutine, nil means that its next
// Append is queued.
func (j *Journal) CheckAppend(payload []byte) error {
	if len(payload) == 0 || len(payload) > MaxRecordBytes {
		return ErrTooLarge
	}
	err := j.Failure()
	if err != nil {
		return err
	}
	if len(j.pending) == cap(j.pending) {
		return ErrFull
	}
	return nil
}

// Barrier writes nothing. The channel receives one value: nil once every earlier
// append is synced, or an error.
func (j *Journal) Barrier() <-chan error {
	result := make(chan error, 1)
	j.enqueue(appendRequest{result: result})
	return result
}

// enqueue queues r, or completes it with an error.
func (j *Journal) enqueue(r appendRequest) {
	err := j.Failure()
	if err != nil {
		r.result <- err
		return
	}
	select {
	case j.pending <- r:
	default:
		r.result <- ErrFull
	}
}

// Size returns the size of the file in bytes.
func (j *Journal) Size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size
}

// Syncs returns the number of syncs since Open.
func (j *Journal) Syncs() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.syncs
}

// Done returns a channel that is closed once the journal has stopped writing.
func (j *Journal) Done() <-chan struct{} {
	return j.done
}

// Close writes the waiting appends and closes the file. Later appends fail with
// ErrClosed.
func (j *Journal) Close() {
	j.closeOnce.Do(func() { close(j.stop) })
	<-j.done
}

// Fail makes all further appends fail with err, unless the journal has failed
// before.
func (j *Journal) Fail(err error) {
	j.fail(err)
}

// Failure returns the error that further appends return, or nil.
func (j *Journal) Failure() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed
}

// fail records the first error that further appends return.
func (j *Journal) fail(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed == nil {
		j.failed = err
	}
}

// run writes batches until Close.
func (j *Journal) run(file disk.File) {
	defer close(j.done)
	defer func() { _ = file.Close() }()
	for {
		select {
		case first := <-j.pending:
			j.commitBatch(file, j.collectBatch(first))
		case <-j.stop:
			j.fail(ErrClosed)
			j.drain(file)
			return
		}
	}
}

// drain writes all waiting appends.
func (j *Journal) drain(file disk.File) {
	for {
		select {
		case first := <-j.pending:
			j.commitBatch(file, j.collectBatch(first))
		default:
			return
		}
	}
}

// collectBatch returns first and the appends that wait after it, until the batch
// is full.
func (j *Journal) collectBatch(first appendRequest) []appendRequest {
	batch := []appendRequest{first}
	size := len(first.payload)
	for size < maxBatchBytes {
		select {
		case next := <-j.pending:
			batch = append(batch, next)
			size += len(next.payload)
		default:
			return batch
		}
	}
	return batch
}

// commitBatch writes and syncs a batch and completes its appends. After a failed
// write or sync the journal refuses further appends until it is opened again.
func (j *Journal) commitBatch(file disk.File, batch []appendRequest) {
	err := j.Failure()
	if err == nil || errors.Is(err, ErrClosed) {
		err = j.writeBatch(file, batch)
	}
	for _, request := range batch {
		request.result <- err
	}
}

// writeBatch writes the payloads of a batch and syncs the file. A batch of barriers
// needs no sync.
func (j *Journal) writeBatch(file disk.File, batch []appendRequest) error {
	var buffer []byte
	for _, request := range batch {
		if request.payload != nil {
			buffer = appendRecord(buffer, request.payload)
		}
	}
	if buffer == nil {
		return nil
	}
	_, err := file.Write(buffer)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		// A later sync may succeed without having written this batch.
		_ = file.Truncate(j.Size())
		err = errors.Newf("write journal %s: %w", j.name, err)
		j.fail(err)
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.size += int64(len(buffer))
	j.syncs++
	return nil
}
