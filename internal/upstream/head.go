package upstream

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// transferEncodingField is the begin of the line with the transfer encoding.
const transferEncodingField = "Transfer-Encoding:"

// headScanner looks at the bytes of a head as they are read, for what http.ReadResponse accepts
// and doesn't tell. Its zero value is ready to use.
type headScanner struct {
	// start holds the first bytes of the current line, which has length bytes so far.
	start  [len(transferEncodingField)]byte
	length int
	// returned is set if the last byte was a carriage return.
	returned bool
	lines    int
	// usesCRLF is set if the status line ended with CRLF.
	usesCRLF bool
	// endsBare is set if the empty line after the fields was a line feed alone.
	endsBare            bool
	hasTransferEncoding bool
	ended               bool
}

// scan takes the next bytes of the connection. It ignores those after the head.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		if s.ended {
			return
		}
		if b == '\n' {
			s.endLine()
			continue
		}
		if s.length < len(s.start) {
			s.start[s.length] = b
		}
		s.length++
		s.returned = b == '\r'
	}
}

// endLine ends the current line.
func (s *headScanner) endLine() {
	isEmpty := s.length == 0 || s.length == 1 && s.returned
	switch {
	case s.lines == 0:
		s.usesCRLF = s.returned
	case isEmpty:
		s.ended = true
		s.endsBare = !s.returned
	case s.length >= len(s.start) && strings.EqualFold(string(s.start[:]), transferEncodingField):
		s.hasTransferEncoding = true
	}
	s.lines++
	s.length = 0
	s.returned = false
}

// check returns an ErrInvalidFraming if the head, which was parsed as given, doesn't tell where the
// body begins or ends.
func (s *headScanner) check(parsed *http.Response) error {
	switch {
	case s.usesCRLF && s.endsBare:
		// The line feed may be a byte of the next field's name.
		return errors.Newf("line feed alone after lines that end with CRLF: %w", ErrInvalidFraming)
	case s.hasTransferEncoding && !parsed.ProtoAtLeast(1, 1):
		return errors.Newf("transfer encoding in %s: %w", parsed.Proto, ErrInvalidFraming)
	default:
		return nil
	}
}
