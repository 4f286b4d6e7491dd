package process

import (
	"net/http"

	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/operator"
)

// Dialect adapts a site to the protocols and formats of the platform that it
// runs on.
type Dialect interface {
	// Translator returns the protocol that callers and backend servers use.
	Translator() forward.Translator
	// Operators returns the HTTP handler of the operators' API.
	Operators(releases *operator.Releases, evacuations *operator.Evacuations) http.Handler
	// Lister returns a reader of the list of backend servers at address.
	Lister(client *http.Client, address string) instances.Lister
	// BoundsLoad reports whether the platform's contracts ask entries to bound the
	// descriptors and the memory that callers and backend servers occupy.
	BoundsLoad(contracts []string) bool
	// EstimatesLoad reports whether the platform's contracts ask entries to choose backend
	// servers by estimates of their load, also where these state no slowdown.
	EstimatesLoad(contracts []string) bool
	// ReadyPath returns the URL path that the platform polls for the
	// readiness of an entry.
	ReadyPath() string
}
