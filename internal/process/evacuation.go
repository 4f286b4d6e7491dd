package process

import (
	"maps"
	"slices"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/config"
)

// logEvacuations logs the evacuations that begin and end at an entry of a listed site when
// it replaces a document, which is nil at first, by that of a version.
func logEvacuations(logger *log.Logger, before, after *config.Document, version uint64) {
	was := make(map[string]bool)
	if before != nil {
		was = before.EvacuatedDomains()
	}
	is := after.EvacuatedDomains()
	for _, name := range slices.Sorted(maps.Keys(is)) {
		if !was[name] {
			logger.Info("evacuation begins", "evacuated_domain", name, "configuration_version", version)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(was)) {
		if !is[name] {
			logger.Info("evacuation ends", "evacuated_domain", name, "configuration_version", version)
		}
	}
}
