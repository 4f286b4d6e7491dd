package fake

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// maxPlatformChanges bounds the changes that a Platform keeps for its lag.
const maxPlatformChanges = 4096

// Platform is a stand-in for the platform's lagging list of instances; its
// zero value works.
type Platform struct {
	// Lag is how old the list is.
	Lag time.Duration

	mu      sync.Mutex
	changes []platformChange
}

type platformChange struct {
	at       time.Time
	instance PlatformInstance
}

// PlatformInstance is one instance of the platform's list.
type PlatformInstance struct {
	// Address is an IP number and a port.
	Address string `json:"address"`
	// State is live, leaving or gone; gone ones are not listed.
	State string `json:"state"`
}

type platformList struct {
	Instances []PlatformInstance `json:"instances"`
}

// Handler serves the list and takes changes in.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", p.serveList)
	mux.HandleFunc("PUT /v1/instances", p.serveChange)
	return mux
}

// Set changes the state of an instance.
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

// list returns the instances as they were one lag ago.
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
