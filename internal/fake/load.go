package fake

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxLoadSamples is the number of load samples that an Engine remembers.
const maxLoadSamples = 4096

// engineLoad is the body of a GET /load response.
type engineLoad struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	MaxBatch int  `json:"max_batch"`
	Draining bool `json:"draining"`
	AgeMS    int  `json:"age_ms"`
}

type loadSample struct {
	at   time.Time
	load engineLoad
}

// recordLoad appends the current load to the samples. The caller holds e.mu.
func (e *Engine) recordLoad() {
	load := engineLoad{
		Running:  e.running,
		Waiting:  len(e.waiting),
		MaxBatch: orDefault(e.MaxBatch, defaultMaxBatch),
	}
	e.loadSamples = append(e.loadSamples, loadSample{at: time.Now(), load: load})
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = e.loadSamples[1:]
	}
}

// serveLoad returns the load as it was LoadLag ago, and drops older samples.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	asOf := time.Now().Add(-e.LoadLag)
	load := engineLoad{MaxBatch: orDefault(e.MaxBatch, defaultMaxBatch)}
	for len(e.loadSamples) > 0 && !e.loadSamples[0].at.After(asOf) {
		load = e.loadSamples[0].load
		if len(e.loadSamples) == 1 || e.loadSamples[1].at.After(asOf) {
			break
		}
		e.loadSamples = e.loadSamples[1:]
	}
	load.Draining = e.draining
	load.AgeMS = int(e.LoadLag / time.Millisecond)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}
