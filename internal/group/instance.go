package group

import (
	"hash/fnv"
	"sort"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/statechart"
)

const (
	// maxInstances bounds the table of instances.
	maxInstances = 2048
	// silentAfter is how long an instance may be silent before it counts as
	// gone. A silent instance may also be cut off: nothing is taken from it.
	silentAfter = 15 * time.Second
	// settleAfter is how long a restarted instance must be heard before it
	// counts as live again.
	settleAfter = 10 * time.Second
)

// instanceChart is the membership of an instance as seen by its heartbeats.
var instanceChart = statechart.MustLoad("instance")

// Instance is what a control instance knows of another instance.
type Instance struct {
	ID            string           `json:"instance"`
	Incarnation   string           `json:"incarnation"`
	FailureDomain string           `json:"failure_domain"`
	State         statechart.State `json:"state"`
	// Version is the configuration version in force at the instance.
	Version uint64 `json:"configuration_version"`
	// Basis is what the instance's version rests on.
	Basis Basis `json:"basis"`
	// AgeSeconds is the time since the instance was last heard.
	AgeSeconds float64 `json:"age_seconds"`
	Restarts   int     `json:"restarts,omitempty"`

	heard   time.Time
	started time.Time
	// datagrams is where the instance takes datagrams, if it does.
	datagrams string
}

// instanceTable is a bounded table of the instances that were heard; its zero
// value works.
type instanceTable struct {
	mu        sync.Mutex
	instances map[string]*Instance
	// known is the highest version that any instance reported.
	known uint64
}

// hear takes a heartbeat in and returns the highest version reported so far.
func (t *instanceTable) hear(request *watchRequest, check *invariant.Checker) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = max(t.known, request.Have)
	if request.Instance == "" {
		return t.known
	}
	now := time.Now()
	instance := t.find(request.Instance)
	if instance.Incarnation != "" && instance.Incarnation != request.Incarnation {
		instance.Restarts++
		instance.started = now
		instance.Version = 0
		instance.move("restart", check)
	}
	instance.Incarnation = request.Incarnation
	instance.FailureDomain = request.FailureDomain
	instance.Version = max(instance.Version, request.Have)
	instance.Basis = request.Basis
	instance.datagrams = request.Datagrams
	instance.heard = now
	instance.move(request.event(), check)
	if instance.State == "restarted" && now.Sub(instance.started) >= settleAfter {
		instance.move("settle", check)
	}
	return t.known
}

// find returns the entry of an instance; a new one takes the place of the one
// that has been silent for the longest time when the table is full.
func (t *instanceTable) find(id string) *Instance {
	if t.instances == nil {
		t.instances = make(map[string]*Instance)
	}
	instance := t.instances[id]
	if instance != nil {
		return instance
	}
	if len(t.instances) >= maxInstances {
		t.evict()
	}
	instance = &Instance{ID: id}
	t.instances[id] = instance
	return instance
}

func (t *instanceTable) evict() {
	var oldest *Instance
	for _, instance := range t.instances {
		if oldest == nil || instance.heard.Before(oldest.heard) {
			oldest = instance
		}
	}
	delete(t.instances, oldest.ID)
}

// list returns the instances by id.
func (t *instanceTable) list(check *invariant.Checker) []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	list := make([]Instance, 0, len(t.instances))
	for _, instance := range t.instances {
		age := now.Sub(instance.heard)
		if age >= silentAfter {
			instance.move("silence", check)
		}
		copied := *instance
		copied.AgeSeconds = age.Seconds()
		list = append(list, copied)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// live returns how many instances were heard lately.
func (t *instanceTable) live() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, instance := range t.instances {
		if time.Since(instance.heard) < silentAfter {
			count++
		}
	}
	return count
}

// peers returns where the live instances take datagrams, and the sum of that.
func (t *instanceTable) peers() ([]string, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	for _, instance := range t.instances {
		if instance.datagrams != "" && time.Since(instance.heard) < silentAfter {
			addresses = append(addresses, instance.datagrams)
		}
	}
	sort.Strings(addresses)
	sum := fnv.New64a()
	for _, address := range addresses {
		_, _ = sum.Write([]byte(address + " "))
	}
	return addresses, sum.Sum64()
}

func (i *Instance) move(event statechart.Event, check *invariant.Checker) {
	next, err := instanceChart.Next(i.State, event)
	if err != nil {
		_ = check.Check(false, invariant.TransitionInChart, "instance %s: %v", i.ID, err)
		return
	}
	i.State = next
}

func (r *watchRequest) event() statechart.Event {
	if r.Leaving {
		return "leave"
	}
	return "heartbeat"
}

// Instances returns the instances that this control instance has heard.
func (g *Group) Instances() []Instance {
	return g.instances.list(g.Check)
}
