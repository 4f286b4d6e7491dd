package fake

import (
	"encoding/json"
	"net/http"
	"time"
)

const maxLoadReports = 4096

// engineLoad is what an engine reports.
type engineLoad struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	MaxBatch int  `json:"max_batch"`
	Draining bool `json:"draining"`
	AgeMS    int  `json:"age_ms"`
}

type timedLoad struct {
	at   time.Time
	load engineLoad
}

// report records the present load; the engine's mutex is held.
func (e *Engine) report() {
	load := engineLoad{
		Running:  e.running,
		Waiting:  len(e.waiting),
		MaxBatch: orDefault(e.MaxBatch, defaultMaxBatch),
	}
	e.reports = append(e.reports, timedLoad{at: time.Now(), load: load})
	if len(e.reports) > maxLoadReports {
		e.reports = e.reports[1:]
	}
}

// serveLoad reports the load as it was one lag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	then := time.Now().Add(-e.LoadLag)
	load := engineLoad{MaxBatch: orDefault(e.MaxBatch, defaultMaxBatch)}
	for len(e.reports) > 0 && !e.reports[0].at.After(then) {
		load = e.reports[0].load
		if len(e.reports) == 1 || e.reports[1].at.After(then) {
			break
		}
		e.reports = e.reports[1:]
	}
	load.Draining = e.draining
	load.AgeMS = int(e.LoadLag / time.Millisecond)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}
