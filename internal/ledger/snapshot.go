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
	// minRotateBytes is the least size of a journal that a snapshot replaces.
	minRotateBytes = 64 << 20
	// rotateFactor is how many times the size of the last snapshot a journal
	// may reach.
	rotateFactor = 2
	// maxPartItems and maxPartBytes bound one part of a snapshot.
	maxPartItems = 8192
	maxPartBytes = 4 << 20
)

// snapshotImage is a part of the state at the start of a journal.
type snapshotImage struct {
	Generation uint64                    `cbor:"1,keyasint"`
	Epoch      string                    `cbor:"2,keyasint"`
	Accounts   map[string]*budget.Escrow `cbor:"3,keyasint"`
	Records    []recordImage             `cbor:"4,keyasint,omitempty"`
	Gone       []goneImage               `cbor:"5,keyasint,omitempty"`
	Deposits   map[string]Deposit        `cbor:"6,keyasint,omitempty"`
	// Last marks the part that ends a whole snapshot.
	Last bool `cbor:"7,keyasint,omitempty"`
}

// snapshotWriter cuts a state into parts and frames them.
type snapshotWriter struct {
	part   snapshotImage
	items  int
	bytes  int
	framed []byte
	err    error
}

// add makes room for one more item with a body of so many bytes.
func (w *snapshotWriter) add(bytes int) {
	if w.items == maxPartItems || w.bytes > maxPartBytes {
		w.flush()
	}
	w.items++
	w.bytes += bytes
}

func (w *snapshotWriter) flush() {
	data, err := peer.Encode(w.part)
	if err != nil {
		w.err = err
	}
	w.framed = append(w.framed, journal.Encode(data)...)
	w.part = snapshotImage{Generation: w.part.Generation, Epoch: w.part.Epoch}
	w.items = 0
	w.bytes = 0
}

func (w *snapshotWriter) addAccount(name string, account *budget.Escrow) {
	w.add(0)
	if w.part.Accounts == nil {
		w.part.Accounts = make(map[string]*budget.Escrow)
	}
	w.part.Accounts[name] = account
}

func (w *snapshotWriter) addDeposit(id string, deposit Deposit) {
	w.add(0)
	if w.part.Deposits == nil {
		w.part.Deposits = make(map[string]Deposit)
	}
	w.part.Deposits[id] = deposit
}

func (w *snapshotWriter) addGone(gone goneImage) {
	w.add(0)
	w.part.Gone = append(w.part.Gone, gone)
}

func (w *snapshotWriter) addRecord(held *record) {
	w.add(len(held.answer.Body))
	w.part.Records = append(w.part.Records, held.image())
}

type recordImage struct {
	State      statechart.State `cbor:"1,keyasint"`
	Reserve    Reserve          `cbor:"2,keyasint"`
	ReservedAt int64            `cbor:"3,keyasint,omitempty"`
	LostAt     int64            `cbor:"4,keyasint,omitempty"`
	EndedAt    int64            `cbor:"5,keyasint,omitempty"`
	Billed     int64            `cbor:"6,keyasint,omitempty"`
	Answer     Answer           `cbor:"7,keyasint,omitempty"`
	Unclear    bool             `cbor:"8,keyasint,omitempty"`
}

type goneImage struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	Attempt   string `cbor:"3,keyasint"`
	At        int64  `cbor:"4,keyasint"`
}

// encode returns the state as a snapshot: ended records in the order of their
// end, then the open ones.
func (s *state) encode(generation uint64) ([]byte, error) {
	w := &snapshotWriter{part: snapshotImage{Generation: generation, Epoch: s.epoch}}
	for name, account := range s.accounts {
		w.addAccount(name, account)
	}
	for id, deposit := range s.deposits {
		w.addDeposit(id, deposit)
	}
	written := make(map[recordID]bool)
	for _, e := range s.endings {
		if e.attempt != "" {
			w.addGone(goneImage{Workspace: e.id.workspace, Key: e.id.key, Attempt: e.attempt, At: e.at})
			continue
		}
		held := s.records[e.id]
		if held == nil || held.isOpen() || held.endedAt != e.at || written[e.id] {
			continue
		}
		written[e.id] = true
		w.addRecord(held)
	}
	for _, held := range s.open {
		w.addRecord(held)
	}
	w.part.Last = true
	w.flush()
	return w.framed, w.err
}

func (r *record) image() recordImage {
	return recordImage{
		State:      r.state,
		Reserve:    r.reserve,
		ReservedAt: r.reservedAt,
		LostAt:     r.lostAt,
		EndedAt:    r.endedAt,
		Billed:     r.billed,
		Answer:     r.answer,
		Unclear:    r.unclear,
	}
}

// restore adds a part of a snapshot.
func (s *state) restore(image *snapshotImage) {
	s.epoch = image.Epoch
	maps.Copy(s.accounts, image.Accounts)
	maps.Copy(s.deposits, image.Deposits)
	for _, gone := range image.Gone {
		s.giveUp(recordID{workspace: gone.Workspace, key: gone.Key}, gone.Attempt, gone.At)
	}
	for _, r := range image.Records {
		s.restoreRecord(r)
	}
}

func (s *state) restoreRecord(image recordImage) {
	id := recordID{workspace: image.Reserve.Workspace, key: image.Reserve.Key}
	held := &record{
		state:      image.State,
		reserve:    image.Reserve,
		reservedAt: image.ReservedAt,
		lostAt:     image.LostAt,
		billed:     image.Billed,
		unclear:    image.Unclear,
	}
	s.records[id] = held
	if held.isOpen() {
		s.open[id] = held
		return
	}
	s.end(id, held, image.EndedAt)
	s.keep(held, image.Answer)
}

func journalName(generation uint64) string {
	return fmt.Sprintf("%s%d", journalPrefix, generation)
}

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
	for i, part := range records {
		var image snapshotImage
		err = peer.Decode(part, &image)
		if err == nil && image.Last != (i == len(records)-1) {
			err = journal.ErrDamaged
		}
		if err != nil {
			return errors.Newf("decode ledger snapshot: %w", err)
		}
		l.state.restore(&image)
		l.generation = image.Generation
	}
	l.snapshot = size
	return nil
}

// rotate writes a snapshot and starts the journal that follows it. Nothing is
// served meanwhile.
func (l *Ledger) rotate() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := <-l.journal.Barrier()
	if err != nil {
		return errors.Newf("sync journal before a snapshot: %w", err)
	}
	next := l.generation + 1
	framed, err := l.state.encode(next)
	if err != nil {
		return errors.Newf("encode ledger snapshot: %w", err)
	}
	file, _, err := journal.Open(l.options.Folder, journalName(next))
	if err != nil {
		return errors.Newf("open next journal: %w", err)
	}
	err = l.options.Folder.WriteFile(snapshotFile, framed)
	if err != nil {
		file.Close()
		l.journal.Fail(err)
		return errors.Newf("write ledger snapshot: %w", err)
	}
	l.journal.Close()
	l.journal = file
	l.generation = next
	l.snapshot = int64(len(framed))
	l.removeOldJournals()
	return nil
}

func (l *Ledger) rotateWhenLarge() {
	l.mu.Lock()
	size := l.journal.Size()
	limit := max(minRotateBytes, rotateFactor*l.snapshot)
	l.mu.Unlock()
	if size < limit {
		return
	}
	err := l.rotate()
	if err != nil {
		l.options.Log.Error("ledger snapshot failed", "err", err.Error())
	}
}

// removeOldJournals drops the journals that a snapshot replaced.
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
