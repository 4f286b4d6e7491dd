package process

import (
	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/place"
)

// logEvacuations logs the evacuations that begin and end at an entry of a listed site when
// it replaces a document, which is nil at first, by that of a version.
func logEvacuations(logger *log.Logger, before, after *config.Document, version uint64) {
	var was map[string]bool
	if before != nil {
		was = before.EvacuatedDomains()
	}
	forward.LogEvacuations(logger, place.CompareEvacuations(was, after.EvacuatedDomains()), version)
}
