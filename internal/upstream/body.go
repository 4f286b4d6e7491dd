package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
)

// pieceBytes is the largest size of a piece of a body.
const pieceBytes = 64 << 10

// Body is the whole body of a request or a response, in pieces: one that grows is never
// copied, so that it takes no more memory than is reserved for it.
type Body [][]byte

// NewBody returns a body with the given content, which it shares. A body without content is
// nil.
func NewBody(content []byte) Body {
	if len(content) == 0 {
		return nil
	}
	return Body{content}
}

// Len returns the length of the body in bytes.
func (b Body) Len() int {
	total := 0
	for _, piece := range b {
		total += len(piece)
	}
	return total
}

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, piece := range b {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, errors.Newf("write body: %w", err)
		}
	}
	return written, nil
}

// String returns a copy of the body as a text.
func (b Body) String() string {
	text := make([]byte, 0, b.Len())
	for _, piece := range b {
		text = append(text, piece...)
	}
	return string(text)
}
