package upstream

import "github.com/cockroachdb/errors"

// headScanner looks at the bytes of a head as they are read, for what http.ReadResponse accepts
// and doesn't tell. Its zero value is ready to use.
type headScanner struct {
	// length is that of the current line so far.
	length int
	// returned is set if the last byte was a carriage return.
	returned bool
	lines    int
	// usesCRLF is set if the status line ended with CRLF.
	usesCRLF bool
	// endsBare is set if the empty line after the fields was a line feed alone.
	endsBare bool
	ended    bool
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
	}
	s.lines++
	s.length = 0
	s.returned = false
}

// check returns an ErrInvalidFraming if the head doesn't tell where the body begins.
func (s *headScanner) check() error {
	if s.usesCRLF && s.endsBare {
		// The line feed may be a byte of the next field's name.
		return errors.Newf("line feed alone after lines that end with CRLF: %w", ErrInvalidFraming)
	}
	return nil
}
