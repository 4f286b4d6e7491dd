package process

import (
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/cactusbay/cactusbay/internal/observe"
)

// statusHandler serves /healthz, /readyz and /metrics.
func statusHandler(telemetry *observe.Telemetry, ready func() bool) http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	})
	router.Handle("/metrics", telemetry.Metrics)
	return router
}
