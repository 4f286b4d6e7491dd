package quorum

import (
	"bytes"
	"slices"
)

// entryKind is the kind of data in a log entry.
type entryKind uint8

const (
	// kindCommand is a command for the state machine.
	kindCommand entryKind = iota
	// kindNoOp is the empty entry that a leader appends at the start of its term.
	kindNoOp
	// kindConfiguration is an encoded configuration of the group's members.
	kindConfiguration
)

// entryOverhead is the number of bytes that an entry counts for beside its data
// when a batch or the log is measured.
const entryOverhead = 32

// entry is one entry of the replicated log.
type entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  entryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// size returns the size in bytes that the entry counts for.
func (e entry) size() int {
	return len(e.Data) + entryOverhead
}

// equal reports whether two entries are identical.
func (e entry) equal(other entry) bool {
	return e.Index == other.Index && e.Term == other.Term && e.Kind == other.Kind && bytes.Equal(e.Data, other.Data)
}

// entryLog holds the log entries after index base in memory. A snapshot covers
// the entries up to base.
type entryLog struct {
	base uint64
	// baseTerm is the term of the entry at base.
	baseTerm uint64
	entries  []entry
	// size is the sum of the entries' sizes in bytes.
	size int
}

// last returns the index of the last entry.
func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// lastTerm returns the term of the last entry.
func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index and reports whether it is known:
// it is not for entries before base or after the last one.
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

// slice returns a copy of the entries after from up to and including to. It stops
// after the entry that reaches limit bytes, and returns at least one entry if
// there is one.
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

// replaceFrom removes the entries from the index of e on, and appends e.
func (l *entryLog) replaceFrom(e entry) {
	kept := e.Index - l.base - 1
	l.subtractSize(l.entries[kept:])
	l.entries = l.entries[:kept]
	l.appendEntry(e)
}

// appendEntry appends e, whose index must follow the last one.
func (l *entryLog) appendEntry(e entry) {
	l.entries = append(l.entries, e)
	l.size += e.size()
}

// subtractSize subtracts the sizes of dropped entries from the log's size.
func (l *entryLog) subtractSize(dropped []entry) {
	for _, e := range dropped {
		l.size -= e.size()
	}
}

// compact drops the entries up to and including index, which becomes the base.
func (l *entryLog) compact(index uint64) {
	term, _ := l.term(index)
	l.subtractSize(l.entries[:index-l.base])
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
	l.baseTerm = term
}

// reset empties the log. Its base becomes the last entry of a snapshot, with that
// index and term.
func (l *entryLog) reset(index, term uint64) {
	l.entries = nil
	l.size = 0
	l.base = index
	l.baseTerm = term
}
