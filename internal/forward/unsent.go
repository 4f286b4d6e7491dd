package forward

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// outcomeOfUnsent returns the outcome for the placement of an attempt that failed with err
// before any of the request was sent. A cause at this entry says nothing about the server.
func (s *Server) outcomeOfUnsent(err error) place.Outcome {
	if upstream.IsLocal(err) || upstream.IsTimeout(err) && s.isDelayed() {
		return place.Unused{}
	}
	return place.Unreachable{}
}

// endUnsent ends the placement of an attempt that failed with err before any of the request
// was sent. If the server may be the cause, it closes the idle connections to it, because
// what stopped a new one may affect them too.
func (s *Server) endUnsent(placement *place.Placement, err error, now time.Time) {
	outcome := s.outcomeOfUnsent(err)
	placement.Done(outcome, now)
	if outcome == (place.Unreachable{}) {
		s.Upstream.CloseIdle(placement.ID)
	}
}

// isDelayed reports whether a queue at this entry may be why a connection could not be
// opened in time. A delay above the target suffices, although a dial takes one round trip
// only: a full queue drops packets, and a lost one is sent again after the dial's timeout.
func (s *Server) isDelayed() bool {
	if s.Overload == nil {
		return false
	}
	status := s.Overload.Status(time.Now())
	return status.Known && status.Delay > status.Target
}
