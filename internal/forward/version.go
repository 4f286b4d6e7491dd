package forward

import "github.com/cactusbay/cactusbay/internal/place"

// recordVersion limits further attempts to the software version of the server that sent
// the first event.
func (t *task) recordVersion(version string) {
	if !t.version.Limited {
		t.version = place.VersionLimit{Limited: true, Version: version}
	}
}
