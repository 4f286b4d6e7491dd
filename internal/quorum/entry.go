package quorum

import (
	"bytes"
	"slices"
)

// entryKind tells what an entry carries.
type entryKind uint8

const (
	kindCommand entryKind = iota
	// kindNoOp opens a leader's term.
	kindNoOp
	// kindConfiguration carries an encoded configuration of the group.
	kindConfiguration
)

// entryOverhead is added to an entry's data when a batch is measured, in
// bytes.
const entryOverhead = 32

// entry is one position of the replicated log.
type entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  entryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

func (e entry) size() int {
	return len(e.Data) + entryOverhead
}

func (e entry) equal(other entry) bool {
	return e.Index == other.Index && e.Term == other.Term && e.Kind == other.Kind && bytes.Equal(e.Data, other.Data)
}

// entryLog is the log in memory after base, which a snapshot covers.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []entry
	// size is the sum of the entries' sizes in bytes.
	size int
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term at index, if the log still or already holds it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.at(index).Term, true
}

// at returns the entry at index, which must be in the log.
func (l *entryLog) at(index uint64) entry {
	return l.entries[index-l.base-1]
}

// slice returns a copy of the entries after from up to and including to, at
// most about limit bytes but at least one entry.
func (l *entryLog) slice(from, to uint64, limit int) []entry {
	var batch []entry
	size := 0
	for index := from + 1; index <= to && (size < limit || len(batch) == 0); index++ {
		next := l.at(index)
		size += next.size()
		batch = append(batch, next)
	}
	return batch
}

// put appends e and drops whatever stood at its index and after.
func (l *entryLog) replaceFrom(e entry) {
	kept := e.Index - l.base - 1
	l.subtractSize(l.entries[kept:])
	l.entries = l.entries[:kept]
	l.appendEntry(e)
}

// add appends e, whose index must be the next.
func (l *entryLog) appendEntry(e entry) {
	l.entries = append(l.entries, e)
	l.size += e.size()
}

// forget takes dropped entries out of the size.
func (l *entryLog) subtractSize(dropped []entry) {
	for _, e := range dropped {
		l.size -= e.size()
	}
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, _ := l.term(index)
	l.subtractSize(l.entries[:index-l.base])
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
	l.baseTerm = term
}

// reset empties the log after a snapshot.
func (l *entryLog) reset(index, term uint64) {
	l.entries = nil
	l.size = 0
	l.base = index
	l.baseTerm = term
}
