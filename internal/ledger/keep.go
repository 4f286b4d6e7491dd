package ledger

import "time"

const (
	// retention is how long a request's record outlives its end.
	retention = 24 * time.Hour
	// maxKeptBytes bounds the answers that are kept for retries.
	maxKeptBytes = 64 << 20
)

// end marks the end of an attempt and wakes those who wait for it.
func (s *state) end(id recordID, held *record, at int64) {
	held.endedAt = at
	delete(s.open, id)
	s.endings = append(s.endings, ending{at: at, id: id})
	if held.ended != nil {
		close(held.ended)
		held.ended = nil
	}
}

// giveUp remembers an attempt that has no record, so that its reservation is
// refused when it arrives after its release.
func (s *state) giveUp(id recordID, attempt string, at int64) {
	s.gone[attempt] = at
	s.endings = append(s.endings, ending{at: at, id: id, attempt: attempt})
}

// keep holds an answer for retries and drops the oldest ones above the bound.
func (s *state) keep(held *record, answer Answer) {
	if answer.Status == 0 {
		return
	}
	held.answer = answer
	s.kept = append(s.kept, held)
	s.keptBytes += len(answer.Body)
	for s.keptBytes > maxKeptBytes {
		s.drop(s.kept[0])
		s.kept = s.kept[1:]
	}
}

func (s *state) drop(held *record) {
	s.keptBytes -= len(held.answer.Body)
	held.answer = Answer{}
}

// forget drops what ended before a time.
func (s *state) forget(before int64) {
	for len(s.endings) > 0 && s.endings[0].at < before {
		oldest := s.endings[0]
		s.endings = s.endings[1:]
		if oldest.attempt != "" {
			delete(s.gone, oldest.attempt)
			continue
		}
		held := s.records[oldest.id]
		if held != nil && !held.isOpen() && held.endedAt < before {
			s.drop(held)
			delete(s.records, oldest.id)
		}
	}
}
