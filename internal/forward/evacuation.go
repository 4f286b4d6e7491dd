package forward

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
)

// obeyEvacuations takes the servers of evacuated failure domains out of the choice, before
// the version is in force.
func (s *Server) obeyEvacuations(version uint64, document *config.Document) {
	change := s.Fleet.SetEvacuated(document.EvacuatedDomains(), time.Now())
	for _, name := range change.Begun {
		s.Log.Info("evacuation begins", "failure_domain", name, "configuration_version", version)
	}
	for _, name := range change.Ended {
		s.Log.Info("evacuation ends", "failure_domain", name, "configuration_version", version)
	}
}

// isEvacuated reports whether all servers that may take the request are in evacuated failure
// domains. It must not be passed to another entry then, which may be cut off from control
// and not know of the evacuation.
func (t *task) isEvacuated() bool {
	return t.server.Fleet.IsEvacuated(t.upstream, t.version, t.regions)
}
