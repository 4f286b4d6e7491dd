package ledger

import "time"

const (
	// retention is how long the record of a request is kept after its end.
	retention = 24 * time.Hour
	// maxResponseBytes bounds the bodies of the responses that are stored for
	// retries.
	maxResponseBytes = 64 << 20
)

// endAttempt marks an attempt as ended and wakes the callers of Await.
func (s *state) endAttempt(id recordID, record *requestRecord, at int64) {
	record.endedAt = at
	delete(s.open, id)
	s.retentionQueue = append(s.retentionQueue, retentionItem{at: at, id: id})
	if record.ended != nil {
		close(record.ended)
		record.ended = nil
	}
}

// abandon remembers an attempt that has no record, so that its reservation is
// refused if it arrives after the release.
func (s *state) abandon(id recordID, attempt string, at int64) {
	s.abandoned[attempt] = at
	s.retentionQueue = append(s.retentionQueue, retentionItem{at: at, id: id, attempt: attempt})
}

// storeResponse stores a response for retries and drops the oldest stored
// responses above maxResponseBytes.
func (s *state) storeResponse(record *requestRecord, response Response) {
	if response.Status == 0 {
		return
	}
	record.response = response
	s.withResponse = append(s.withResponse, record)
	s.responseBytes += len(response.Body)
	for s.responseBytes > maxResponseBytes {
		s.dropResponse(s.withResponse[0])
		s.withResponse = s.withResponse[1:]
	}
}

// dropResponse removes the stored response of a record.
func (s *state) dropResponse(record *requestRecord) {
	s.responseBytes -= len(record.response.Body)
	record.response = Response{}
}

// expire drops the records and abandoned attempts that ended before a time in
// milliseconds since the Unix epoch.
func (s *state) expire(before int64) {
	for len(s.retentionQueue) > 0 && s.retentionQueue[0].at < before {
		oldest := s.retentionQueue[0]
		s.retentionQueue = s.retentionQueue[1:]
		if oldest.attempt != "" {
			delete(s.abandoned, oldest.attempt)
			continue
		}
		record := s.records[oldest.id]
		if record != nil && !record.isOpen() && record.endedAt < before {
			s.dropResponse(record)
			delete(s.records, oldest.id)
		}
	}
}
