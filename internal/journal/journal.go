// Package journal keeps checksummed records in an append-only file and syncs
// many waiting appends with one sync (group commit).
package journal

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
)

const (
	queueCapacity = 1024
	maxBatchBytes = 4 << 20
)

// ErrFull reports that the ring of waiting appends is full.
var ErrFull = errors.New("journal has too many waiting appends: retry later")

// ErrClosed reports an append after Close or after a failed sync.
var ErrClosed = errors.New("journal is closed")

// Journal is one append-only file with a writer of its own.
type Journal struct {
	folder    disk.Folder
	name      string
	pending   chan appendRequest
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once

	mu     sync.Mutex
	failed error
	size   int64
	syncs  uint64
}

type appendRequest struct {
	payload []byte
	result  chan error
}

// Open reads the file called name, cuts a torn tail and returns the journal
// with the records that it holds.
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
			return nil, nil, errors.Newf("cut torn tail of %s: %w", name, err)
		}
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

// Append queues a record; the channel answers once the record is synced.
func (j *Journal) Append(payload []byte) <-chan error {
	result := make(chan error, 1)
	if len(payload) == 0 || len(payload) > MaxRecordBytes {
		result <- ErrTooLarge
		return result
	}
	j.enqueue(appendRequest{payload: payload, result: result})
	return result
}

// CheckAppend returns the error that an Append of payload would meet now. With one
// appender, which also calls Barrier, a nil answer means that the next Append
// is queued.
func (j *Journal) CheckAppend(payload []byte) error {
	if len(payload) == 0 || len(payload) > MaxRecordBytes {
		return ErrTooLarge
	}
	err := j.failure()
	if err != nil {
		return err
	}
	if len(j.pending) == cap(j.pending) {
		return ErrFull
	}
	return nil
}

// Barrier writes nothing; the channel answers once every earlier append is
// synced.
func (j *Journal) Barrier() <-chan error {
	result := make(chan error, 1)
	j.enqueue(appendRequest{result: result})
	return result
}

func (j *Journal) enqueue(r appendRequest) {
	err := j.failure()
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

// Syncs returns the number of syncs so far.
func (j *Journal) Syncs() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.syncs
}

// Done is closed once the writer has ended.
func (j *Journal) Done() <-chan struct{} {
	return j.done
}

// Close ends the writer after the appends that wait already.
func (j *Journal) Close() {
	j.closeOnce.Do(func() { close(j.stop) })
	<-j.done
}

// Fail makes the journal refuse all further appends with err.
func (j *Journal) Fail(err error) {
	j.fail(err)
}

func (j *Journal) failure() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed
}

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

// collect takes the appends that wait behind first, up to a batch.
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

// commit writes and syncs a batch. After a failed write or sync the file's
// content is unknown, so that the journal takes no further append.
func (j *Journal) commitBatch(file disk.File, batch []appendRequest) {
	err := j.failure()
	if err == nil || errors.Is(err, ErrClosed) {
		err = j.writeBatch(file, batch)
	}
	for _, request := range batch {
		request.result <- err
	}
}

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
