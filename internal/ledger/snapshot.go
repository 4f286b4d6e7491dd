package ledger

import (
	"fmt"
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
)

// snapshotImage is the whole state at the start of a journal.
type snapshotImage struct {
	Generation uint64                    `cbor:"1,keyasint"`
	Epoch      string                    `cbor:"2,keyasint"`
	Accounts   map[string]*budget.Escrow `cbor:"3,keyasint"`
	Records    []recordImage             `cbor:"4,keyasint,omitempty"`
	Gone       []goneImage               `cbor:"5,keyasint,omitempty"`
	Deposits   map[string]Deposit        `cbor:"6,keyasint,omitempty"`
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

// image returns the state for a snapshot: ended records in the order of their
// end, then the open ones.
func (s *state) image(generation uint64) snapshotImage {
	image := snapshotImage{Generation: generation, Epoch: s.epoch, Accounts: s.accounts, Deposits: s.deposits}
	written := make(map[recordID]bool)
	for _, e := range s.endings {
		if e.attempt != "" {
			image.Gone = append(image.Gone, goneImage{Workspace: e.id.workspace, Key: e.id.key, Attempt: e.attempt, At: e.at})
			continue
		}
		held := s.records[e.id]
		if held == nil || held.isOpen() || held.endedAt != e.at || written[e.id] {
			continue
		}
		written[e.id] = true
		image.Records = append(image.Records, held.image())
	}
	for _, held := range s.open {
		image.Records = append(image.Records, held.image())
	}
	return image
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

// restore returns the state that an image was made of.
func (image *snapshotImage) restore() *state {
	s := newState()
	s.epoch = image.Epoch
	if image.Accounts != nil {
		s.accounts = image.Accounts
	}
	if image.Deposits != nil {
		s.deposits = image.Deposits
	}
	for _, gone := range image.Gone {
		s.giveUp(recordID{workspace: gone.Workspace, key: gone.Key}, gone.Attempt, gone.At)
	}
	for _, r := range image.Records {
		s.restoreRecord(r)
	}
	return s
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
	var whole []byte
	for _, part := range records {
		whole = append(whole, part...)
	}
	var image snapshotImage
	err = peer.Decode(whole, &image)
	if err != nil {
		return errors.Newf("decode ledger snapshot: %w", err)
	}
	l.state = image.restore()
	l.generation = image.Generation
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
	data, err := peer.Encode(l.state.image(next))
	if err != nil {
		return errors.Newf("encode ledger snapshot: %w", err)
	}
	framed := journal.Encode(data)
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
		l.options.Log.Error("ledger snapshot failed", "err", err)
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
