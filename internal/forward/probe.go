package forward

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// RecordProbe records what a server states about itself in its response to a health check
// that was sent at the given time.
func (s *Server) RecordProbe(endpoint place.Endpoint, sentAt time.Time, response *upstream.Response) {
	info := s.Translator.ResponseInfo(response.Status, response.Header)
	if info.ColdStated {
		s.Fleet.RecordProbedCold(endpoint.ID, info.ColdFor, sentAt, time.Now())
	}
}
