package forward

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/place"
)

// applyEvacuations excludes the servers of the failure domains that a version evacuates from
// new requests, before the version is in force.
func (s *Server) applyEvacuations(version uint64, document *config.Document) {
	change := s.Fleet.SetEvacuated(document.EvacuatedDomains(), time.Now())
	LogEvacuations(s.Log, change, version)
}

// LogEvacuations logs the evacuations that begin and end with a version of the configuration.
func LogEvacuations(logger *log.Logger, change place.EvacuationChange, version uint64) {
	for _, name := range change.Begun {
		logger.Info("evacuation begins", "evacuated_domain", name, "configuration_version", version)
	}
	for _, name := range change.Ended {
		logger.Info("evacuation ends", "evacuated_domain", name, "configuration_version", version)
	}
}

// isEvacuated reports whether all servers that may take the request are in evacuated failure
// domains. It must not be passed to another entry then, which may be cut off from control
// and not know of the evacuation.
func (t *task) isEvacuated() bool {
	return t.server.Fleet.IsEvacuated(t.upstream, t.version, t.regions)
}
