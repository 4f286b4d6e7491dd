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
	// silentAfter is the time without a heartbeat after which an instance
	// counts as silent. It may merely be unable to reach the control group, so
	// its grants and claims are kept.
	silentAfter = 15 * time.Second
	// settleAfter is how long a restarted instance must send heartbeats before
	// it counts as live again.
	settleAfter = 10 * time.Second
)

// instanceChart is the state chart of an instance's membership, driven by its
// heartbeats.
var instanceChart = statechart.MustLoad("instance")

// Instance is what a control instance knows about another instance from its
// heartbeats.
type Instance struct {
	ID            string           `json:"instance"`
	Epoch         string           `json:"incarnation"`
	FailureDomain string           `json:"failure_domain"`
	State         statechart.State `json:"state"`
	// Version is the configuration version in force at the instance.
	Version uint64 `json:"configuration_version"`
	// Reachability is how many control instances the instance reaches.
	Reachability Reachability `json:"basis"`
	// AgeSeconds is the time since the last heartbeat, in seconds.
	AgeSeconds float64 `json:"age_seconds"`
	Restarts   int     `json:"restarts,omitempty"`

	lastHeartbeat time.Time
	restartedAt   time.Time
	// datagramAddress is where the instance receives datagrams, or "".
	datagramAddress string
}

// instanceTable is a bounded table of the instances that sent heartbeats. Its
// zero value is ready to use.
type instanceTable struct {
	mu        sync.Mutex
	instances map[string]*Instance
	// highestVersion is the highest configuration version that any instance
	// reported.
	highestVersion uint64
}

// recordHeartbeat records a heartbeat and returns the highest configuration
// version that any instance has reported so far.
func (t *instanceTable) recordHeartbeat(request *watchRequest, check *invariant.Checker) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highestVersion = max(t.highestVersion, request.HaveVersion)
	if request.Instance == "" {
		return t.highestVersion
	}
	now := time.Now()
	instance := t.findOrAdd(request.Instance)
	if instance.Epoch != "" && instance.Epoch != request.Epoch {
		instance.Restarts++
		instance.restartedAt = now
		instance.Version = 0
		instance.applyEvent("restart", check)
	}
	instance.Epoch = request.Epoch
	instance.FailureDomain = request.FailureDomain
	instance.Version = max(instance.Version, request.HaveVersion)
	instance.Reachability = request.Reachability
	instance.datagramAddress = request.DatagramAddress
	instance.lastHeartbeat = now
	instance.applyEvent(request.heartbeatEvent(), check)
	if instance.State == "restarted" && now.Sub(instance.restartedAt) >= settleAfter {
		instance.applyEvent("settle", check)
	}
	return t.highestVersion
}

// findOrAdd returns the record of an instance. If the table is full, a new
// record replaces the one with the oldest heartbeat.
func (t *instanceTable) findOrAdd(id string) *Instance {
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
		if oldest == nil || instance.lastHeartbeat.Before(oldest.lastHeartbeat) {
			oldest = instance
		}
	}
	delete(t.instances, oldest.ID)
}

// list returns copies of all records, sorted by ID. It moves instances without
// recent heartbeats to the silent state.
func (t *instanceTable) list(check *invariant.Checker) []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	list := make([]Instance, 0, len(t.instances))
	for _, instance := range t.instances {
		age := now.Sub(instance.lastHeartbeat)
		if age >= silentAfter {
			instance.applyEvent("silence", check)
		}
		copied := *instance
		copied.AgeSeconds = age.Seconds()
		list = append(list, copied)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// liveCount returns how many instances sent a heartbeat within silentAfter.
func (t *instanceTable) liveCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, instance := range t.instances {
		if time.Since(instance.lastHeartbeat) < silentAfter {
			count++
		}
	}
	return count
}

// datagramAddresses returns the sorted datagram addresses of the live instances
// and a checksum over them.
func (t *instanceTable) datagramAddresses() ([]string, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	for _, instance := range t.instances {
		if instance.datagramAddress != "" && time.Since(instance.lastHeartbeat) < silentAfter {
			addresses = append(addresses, instance.datagramAddress)
		}
	}
	sort.Strings(addresses)
	sum := fnv.New64a()
	for _, address := range addresses {
		_, _ = sum.Write([]byte(address + " "))
	}
	return addresses, sum.Sum64()
}

func (i *Instance) applyEvent(event statechart.Event, check *invariant.Checker) {
	next, err := instanceChart.Next(i.State, event)
	if err != nil {
		_ = check.Check(false, invariant.TransitionInChart, "instance %s: %v", i.ID, err)
		return
	}
	i.State = next
}

func (r *watchRequest) heartbeatEvent() statechart.Event {
	if r.Leaving {
		return "leave"
	}
	return "heartbeat"
}

// Instances returns the instances that sent heartbeats to this control
// instance, sorted by ID.
func (g *Group) Instances() []Instance {
	return g.instances.list(g.Check)
}
