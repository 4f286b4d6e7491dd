package fake

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// maxPlatformChanges is the number of state changes that a Platform remembers.
const maxPlatformChanges = 4096

// Platform is a fake of the platform's instance list, which may lag behind the
// actual states. Its zero value is ready to use.
type Platform struct {
	// Lag is the age of the list that Handler returns.
	Lag time.Duration

	mu      sync.Mutex
	changes []platformChange
}

type platformChange struct {
	at       time.Time
	instance PlatformInstance
}

// PlatformInstance is one instance in the platform's list.
type PlatformInstance struct {
	// Address is an IP address and a port.
	Address string `json:"address"`
	// State is "live", "leaving" or "gone". The list omits gone instances.
	State string `json:"state"`
}

type platformList struct {
	Instances []PlatformInstance `json:"instances"`
}

// Handler returns a handler that serves the list on GET /v1/instances and
// changes the state of one instance on PUT /v1/instances.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", p.serveList)
	mux.HandleFunc("PUT /v1/instances", p.serveChange)
	return mux
}

// Set sets the state of the instance at address. The list shows it after Lag.
func (p *Platform) Set(address, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, platformChange{at: time.Now(), instance: PlatformInstance{Address: address, State: state}})
	if len(p.changes) > maxPlatformChanges {
		p.changes = p.changes[1:]
	}
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(platformList{Instances: p.list()})
}

// list returns the instances as they were Lag ago, sorted by address.
func (p *Platform) list() []PlatformInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := time.Now().Add(-p.Lag)
	states := make(map[string]string)
	for _, change := range p.changes {
		if !change.at.After(asOf) {
			states[change.instance.Address] = change.instance.State
		}
	}
	instances := make([]PlatformInstance, 0, len(states))
	for address, state := range states {
		if state != "gone" {
			instances = append(instances, PlatformInstance{Address: address, State: state})
		}
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].Address < instances[j].Address })
	return instances
}

func (p *Platform) serveChange(w http.ResponseWriter, r *http.Request) {
	var instance PlatformInstance
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&instance)
	if err != nil || instance.Address == "" || instance.State == "" {
		http.Error(w, "address and state are required", http.StatusBadRequest)
		return
	}
	p.Set(instance.Address, instance.State)
}
