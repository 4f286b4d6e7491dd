package process

import (
	"net/http"

	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/operator"
)

// Dialect speaks the words of a site's surroundings.
type Dialect interface {
	// Translator speaks to callers and backend servers.
	Translator() forward.Translator
	// Operators serves operators.
	Operators(releases *operator.Releases) http.Handler
	// Lister reads the list of backend servers at an address.
	Lister(client *http.Client, address string) instances.Lister
	// ReadyPath is where the surroundings ask whether an entry is ready.
	ReadyPath() string
}
