package upstream

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unknownBodyBytes is the size of the first piece of a body without a length.
	unknownBodyBytes = 4 << 10
	// maxFreeBodyBytes is the size up to which a body takes no memory from the budget.
	maxFreeBodyBytes = 64 << 10
	// maxBodiesBytes bounds the memory of all longer bodies together. An entry has 184 MB
	// or more.
	maxBodiesBytes = 48 << 20
	// discardTimeout bounds the time in which a body that is not needed is read.
	discardTimeout = 200 * time.Millisecond
)

// bodyBudget bounds the memory of response bodies, in bytes. Its zero value is ready to
// use.
type bodyBudget struct {
	used atomic.Int64
	// pieces holds pieces of pieceBytes that are free, until a collection of garbage.
	pieces sync.Pool
}

// newPiece returns memory for a piece of the given size, at most pieceBytes.
func (b *bodyBudget) newPiece(size int) []byte {
	if size < pieceBytes {
		return make([]byte, size)
	}
	free, ok := b.pieces.Get().(*[pieceBytes]byte)
	if !ok {
		free = new([pieceBytes]byte)
	}
	return free[:]
}

// freePieces keeps the memory of a body for other bodies.
func (b *bodyBudget) freePieces(body Body) {
	for _, piece := range body {
		if cap(piece) == pieceBytes {
			b.pieces.Put((*[pieceBytes]byte)(piece[:pieceBytes]))
		}
	}
}

// reserve takes memory, unless that exceeds the budget, and reports whether it did.
func (b *bodyBudget) reserve(bytes int) bool {
	if b.used.Add(int64(bytes)) > maxBodiesBytes {
		b.used.Add(-int64(bytes))
		return false
	}
	return true
}

// free gives memory back.
func (b *bodyBudget) free(bytes int) {
	b.used.Add(-int64(bytes))
}
