package ledger

import (
	"fmt"
	"maps"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/statechart"
)

const (
	snapshotFile  = "ledger.snapshot"
	journalPrefix = "ledger.journal."
	// minRotateBytes is the smallest journal that a snapshot replaces.
	minRotateBytes = 64 << 20
	// rotateFactor is the size of the journal at which a snapshot replaces it,
	// as a multiple of the size of the last snapshot.
	rotateFactor = 2
	// maxPartItems and maxPartBytes bound one part of a snapshot.
	maxPartItems = 8192
	maxPartBytes = 4 << 20
)

// snapshotPart is one part of a snapshot. A snapshot is the state at the start
// of the journal with the same generation.
type snapshotPart struct {
	Generation uint64                    `cbor:"1,keyasint"`
	Epoch      string                    `cbor:"2,keyasint"`
	Accounts   map[string]*budget.Escrow `cbor:"3,keyasint"`
	Records    []recordSnapshot          `cbor:"4,keyasint,omitempty"`
	Abandoned  []abandonedAttempt        `cbor:"5,keyasint,omitempty"`
	Deposits   map[string]Deposit        `cbor:"6,keyasint,omitempty"`
	// Last marks the last part, without which the snapshot is incomplete.
	Last bool `cbor:"7,keyasint,omitempty"`
}

// snapshotWriter splits a state into parts and encodes each as a journal
// record.
type snapshotWriter struct {
	part   snapshotPart
	items  int
	bytes  int
	output []byte
	err    error
}

// startItem starts an item with a body of the given size, in a new part if the
// current one is full.
func (w *snapshotWriter) startItem(bytes int) {
	if w.items == maxPartItems || w.bytes > maxPartBytes {
		w.flush()
	}
	w.items++
	w.bytes += bytes
}

// flush appends the current part to the output and starts the next one.
func (w *snapshotWriter) flush() {
	data, err := peer.Encode(w.part)
	if err != nil {
		w.err = err
	}
	w.output = append(w.output, journal.Encode(data)...)
	w.part = snapshotPart{Generation: w.part.Generation, Epoch: w.part.Epoch}
	w.items = 0
	w.bytes = 0
}

func (w *snapshotWriter) addAccount(name string, account *budget.Escrow) {
	w.startItem(0)
	if w.part.Accounts == nil {
		w.part.Accounts = make(map[string]*budget.Escrow)
	}
	w.part.Accounts[name] = account
}

func (w *snapshotWriter) addDeposit(id string, deposit Deposit) {
	w.startItem(0)
	if w.part.Deposits == nil {
		w.part.Deposits = make(map[string]Deposit)
	}
	w.part.Deposits[id] = deposit
}

func (w *snapshotWriter) addAbandoned(attempt abandonedAttempt) {
	w.startItem(0)
	w.part.Abandoned = append(w.part.Abandoned, attempt)
}

func (w *snapshotWriter) addRecord(record *requestRecord) {
	w.startItem(len(record.response.Body))
	w.part.Records = append(w.part.Records, record.snapshot())
}

// recordSnapshot is the encoding of a record.
type recordSnapshot struct {
	State         statechart.State `cbor:"1,keyasint"`
	Reserve       Reserve          `cbor:"2,keyasint"`
	ReservedAt    int64            `cbor:"3,keyasint,omitempty"`
	LostAt        int64            `cbor:"4,keyasint,omitempty"`
	EndedAt       int64            `cbor:"5,keyasint,omitempty"`
	Billed        int64            `cbor:"6,keyasint,omitempty"`
	Response      Response         `cbor:"7,keyasint,omitempty"`
	ResultUnknown bool             `cbor:"8,keyasint,omitempty"`
	VoidedBill    *voidedBill      `cbor:"9,keyasint,omitempty"`
}

// abandonedAttempt is the encoding of an abandoned attempt.
type abandonedAttempt struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	Attempt   string `cbor:"3,keyasint"`
	At        int64  `cbor:"4,keyasint"`
}

// encode returns the state as a snapshot. Ended records come first, in the
// order of their end, and open records last.
func (s *state) encode(generation uint64) ([]byte, error) {
	w := &snapshotWriter{part: snapshotPart{Generation: generation, Epoch: s.epoch}}
	for name, account := range s.accounts {
		w.addAccount(name, account)
	}
	for id, deposit := range s.deposits {
		w.addDeposit(id, deposit)
	}
	written := make(map[recordID]bool)
	for _, e := range s.retentionQueue {
		if e.attempt != "" {
			w.addAbandoned(abandonedAttempt{Workspace: e.id.workspace, Key: e.id.key, Attempt: e.attempt, At: e.at})
			continue
		}
		record := s.records[e.id]
		if record == nil || record.isOpen() || record.endedAt != e.at || written[e.id] {
			continue
		}
		written[e.id] = true
		w.addRecord(record)
	}
	for _, record := range s.open {
		w.addRecord(record)
	}
	w.part.Last = true
	w.flush()
	return w.output, w.err
}

// snapshot returns the encoding of the record.
func (r *requestRecord) snapshot() recordSnapshot {
	return recordSnapshot{
		State:         r.state,
		Reserve:       r.reserve,
		ReservedAt:    r.reservedAt,
		LostAt:        r.lostAt,
		EndedAt:       r.endedAt,
		Billed:        r.billed,
		Response:      r.response,
		ResultUnknown: r.resultUnknown,
		VoidedBill:    r.voidedBill,
	}
}

// restore adds one part of a snapshot to the state.
func (s *state) restore(part *snapshotPart) {
	s.epoch = part.Epoch
	maps.Copy(s.accounts, part.Accounts)
	maps.Copy(s.deposits, part.Deposits)
	for _, attempt := range part.Abandoned {
		s.abandon(recordID{workspace: attempt.Workspace, key: attempt.Key}, attempt.Attempt, attempt.At)
	}
	for _, r := range part.Records {
		s.restoreRecord(r)
	}
}

// restoreRecord adds one record of a snapshot to the state.
func (s *state) restoreRecord(snapshot recordSnapshot) {
	id := recordID{workspace: snapshot.Reserve.Workspace, key: snapshot.Reserve.Key}
	record := &requestRecord{
		state:         snapshot.State,
		reserve:       snapshot.Reserve,
		reservedAt:    snapshot.ReservedAt,
		lostAt:        snapshot.LostAt,
		billed:        snapshot.Billed,
		resultUnknown: snapshot.ResultUnknown,
		voidedBill:    snapshot.VoidedBill,
	}
	s.records[id] = record
	if record.isOpen() {
		s.open[id] = record
		return
	}
	s.endAttempt(id, record, snapshot.EndedAt)
	s.storeResponse(record, snapshot.Response)
}

// journalName returns the name of the journal file that follows the snapshot
// with the given generation.
func journalName(generation uint64) string {
	return fmt.Sprintf("%s%d", journalPrefix, generation)
}

// readSnapshot loads the state from the snapshot file. Without one the state is
// empty.
func (l *Ledger) readSnapshot() error {
	l.state = newState()
	data, err := l.options.Folder.ReadFile(snapshotFile)
	if errors.Is(err, disk.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Newf("read ledger snapshot: %w", err)
	}
	records, size, err := journal.Decode(data)
	if err == nil && (len(records) == 0 || size != int64(len(data))) {
		err = journal.ErrDamaged
	}
	if err != nil {
		return errors.Newf("read ledger snapshot: %w", err)
	}
	for i, encoded := range records {
		var part snapshotPart
		err = peer.Decode(encoded, &part)
		if err == nil && part.Last != (i == len(records)-1) {
			err = journal.ErrDamaged
		}
		if err != nil {
			return errors.Newf("decode ledger snapshot: %w", err)
		}
		l.state.restore(&part)
		l.generation = part.Generation
	}
	l.snapshotBytes = size
	return nil
}

// rotate writes a snapshot and starts the journal that follows it. It holds mu,
// so that the ledger serves nothing meanwhile.
func (l *Ledger) rotate() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := <-l.journal.Barrier()
	if err != nil {
		return errors.Newf("sync journal before the snapshot: %w", err)
	}
	next := l.generation + 1
	snapshot, err := l.state.encode(next)
	if err != nil {
		return errors.Newf("encode ledger snapshot: %w", err)
	}
	file, _, err := journal.Open(l.options.Folder, journalName(next))
	if err != nil {
		return errors.Newf("open the next journal: %w", err)
	}
	err = l.options.Folder.WriteFile(snapshotFile, snapshot)
	if err != nil {
		file.Close()
		l.journal.Fail(err)
		return errors.Newf("write ledger snapshot: %w", err)
	}
	l.journal.Close()
	l.journal = file
	l.generation = next
	l.snapshotBytes = int64(len(snapshot))
	l.removeOldJournals()
	return nil
}

// rotateWhenLarge calls rotate if the journal has reached its size limit.
func (l *Ledger) rotateWhenLarge() {
	l.mu.Lock()
	size := l.journal.Size()
	limit := max(minRotateBytes, rotateFactor*l.snapshotBytes)
	l.mu.Unlock()
	if size < limit {
		return
	}
	err := l.rotate()
	if err != nil {
		l.options.Log.Error("ledger snapshot failed", "err", err.Error())
	}
}

// removeOldJournals removes the journal files that a snapshot has replaced.
// Files that cannot be removed now are removed at the next start or snapshot.
func (l *Ledger) removeOldJournals() {
	names, err := l.options.Folder.List()
	if err != nil {
		return
	}
	for _, name := range names {
		if strings.HasPrefix(name, journalPrefix) && name != journalName(l.generation) {
			_ = l.options.Folder.Remove(name)
		}
	}
}
