package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/observe"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	placementsPerSize = 1000
	measureWindow     = 4 * time.Second
	warmUpTime        = 2 * time.Second
	watchedControls   = 3
	// The control instance with number i searches for free ports from
	// firstControlPort + i*controlPortStep on.
	firstControlPort = 22_000
	controlPortStep  = 1000
)

var (
	serversPerWork     = []int{25, 200, 750, 3000}
	idleEntryCounts    = []int{12, 24, 48}
	polledServerCounts = []int{25, 100, 200}
	controlGroupSizes  = []int{3, 5, 7}
)

// measurePlacement adds the slope of the processor time to choose a backend
// server, per backend server of the work.
func measurePlacement(report *Report) error {
	var points []Point
	for _, size := range serversPerWork {
		d := newDocument(size * modelCount)
		pool := &backend.Pool{FailureDomain: "domain-03", Instance: "entry-1"}
		pool.Update(d)
		placement := backend.PlacementRequest{Document: d, Workspace: "workspace-000", WorkName: "model-00", Cost: reservedTokens}
		before := measureUsage()
		for range placementsPerSize {
			lease, busy := pool.Acquire(context.Background(), placement)
			if busy != nil {
				return errors.New("choose backend server: none available")
			}
			lease.Release()
		}
		processor, _, _ := measureUsage().since(before)
		points = append(points, Point{Size: float64(size), Cost: processor.Seconds() / placementsPerSize})
	}
	report.add(Fit("route_processor", "s", "backend server of the work", points))
	return nil
}

// measurePolls adds the slopes of the cost of polling backend servers for their
// load.
func measurePolls(report *Report) error {
	var processors, bytes []Point
	for _, size := range polledServerCounts {
		processor, wire, err := pollCost(size)
		if err != nil {
			return errors.Newf("measure %d polled servers: %w", size, err)
		}
		processors = append(processors, Point{Size: float64(size), Cost: processor})
		bytes = append(bytes, Point{Size: float64(size), Cost: wire})
	}
	report.add(Fit("poll_processor", "s/s", "backend server in view, stand-in included", processors))
	report.add(Fit("poll_wire", "bytes/s", "backend server in view", bytes))
	return nil
}

// pollCost returns the processor seconds and the bytes, both per second, of
// polling size backend servers.
func pollCost(size int) (processor, wire float64, err error) {
	s, err := serve((&fake.Engine{}).Handler())
	if err != nil {
		return 0, 0, err
	}
	defer s.close()
	d := newDocument(size)
	for name, server := range d.BackendServers {
		server.Address = s.address
		d.BackendServers[name] = server
	}
	metered := &network{}
	poller := &backend.Poller{
		Pool:     &backend.Pool{FailureDomain: "domain-00", Instance: "entry-1"},
		Client:   &backend.Client{Upstream: upstream.Client{Network: metered}},
		Document: func() *config.Document { return d },
	}
	poller.Start()
	defer poller.Close()
	processor, wire = measureIdleRates([]*network{metered})
	return processor, wire, nil
}

// measureIdleRates returns the processor time of the process and the bytes on
// the networks, both per second, over measureWindow. It starts after warmUpTime,
// so that the work of starting is not included.
func measureIdleRates(networks []*network) (processor, wire float64) {
	time.Sleep(warmUpTime)
	start, sent := measureUsage(), totalBytes(networks)
	time.Sleep(measureWindow)
	end := measureUsage()
	used, _, _ := end.since(start)
	elapsed := end.wall.Sub(start.wall).Seconds()
	return used.Seconds() / elapsed, float64(totalBytes(networks)-sent) / elapsed
}

func totalBytes(networks []*network) int64 {
	var sum int64
	for _, n := range networks {
		n.mu.Lock()
		for _, counter := range n.bytes {
			sum += counter.Load()
		}
		n.mu.Unlock()
	}
	return sum
}

// measureIdleEntries adds the slopes of the cost of idle entries, whose watchers
// follow three control instances.
func measureIdleEntries(report *Report) error {
	var processors, bytes []Point
	for _, size := range idleEntryCounts {
		processor, wire, err := idleEntriesCost(size)
		if err != nil {
			return errors.Newf("measure %d idle entries: %w", size, err)
		}
		processors = append(processors, Point{Size: float64(size), Cost: processor})
		bytes = append(bytes, Point{Size: float64(size), Cost: wire})
	}
	report.add(Fit("idle_entry_processor", "s/s", "idle entry, both ends of its watch and probes", processors))
	report.add(Fit("idle_entry_wire", "bytes/s", "idle entry, watch and probes of 3 control instances", bytes))
	return nil
}

// idleEntriesCost returns the processor seconds and the bytes, both per second,
// of the given number of idle entries and of the control instances they watch.
func idleEntriesCost(entries int) (processor, wire float64, err error) {
	g := group.New(nil)
	data, err := json.Marshal(newDocument(25))
	if err != nil {
		return 0, 0, errors.Newf("encode document: %w", err)
	}
	_, err = group.Propose(context.Background(), directLog{group: g}, group.PatchConfiguration{ID: "first", Patch: data})
	if err != nil {
		return 0, 0, err
	}
	var addresses []string
	for range watchedControls {
		mux := http.NewServeMux()
		g.Handle(mux, "", directLog{group: g})
		s, err := serve(mux)
		if err != nil {
			return 0, 0, err
		}
		defer s.close()
		addresses = append(addresses, s.address)
	}
	metered := &network{}
	for i := range entries {
		watcher := &group.Watcher{
			Directory:     group.NewDirectory(addresses...),
			Client:        &peer.Client{HTTP: transport.Client(metered)},
			Log:           log.New(io.Discard),
			Instance:      fmt.Sprintf("entry-%03d", i),
			Epoch:         "0123456789",
			FailureDomain: "domain-00",
		}
		watcher.Start()
		defer watcher.Close()
		<-watcher.Ready()
	}
	processor, wire = measureIdleRates([]*network{metered})
	return processor, wire, nil
}

// measureControlGroups adds the slopes of the cost of an idle control group, per
// control instance.
func measureControlGroups(report *Report) error {
	var processors, bytes []Point
	for _, size := range controlGroupSizes {
		processor, wire, err := controlGroupCost(size)
		if err != nil {
			return errors.Newf("measure %d control instances: %w", size, err)
		}
		processors = append(processors, Point{Size: float64(size), Cost: processor})
		bytes = append(bytes, Point{Size: float64(size), Cost: wire})
	}
	report.add(Fit("idle_group_processor", "s/s", "control instance of an idle group", processors))
	report.add(Fit("idle_group_wire", "bytes/s", "control instance of an idle group", bytes))
	return nil
}

// controlGroupCost returns the processor seconds and the bytes, both per second,
// of an idle control group with size instances.
func controlGroupCost(size int) (processor, wire float64, err error) {
	var controls []settings.Control
	for i := range size {
		address, err := freeAddress(firstControlPort + i*controlPortStep)
		if err != nil {
			return 0, 0, err
		}
		controls = append(controls, settings.Control{InstanceID: fmt.Sprintf("control-%d", i), FailureDomain: fmt.Sprintf("domain-%02d", i), PeerAddress: address})
	}
	var networks []*network
	for _, control := range controls {
		metered := &network{}
		networks = append(networks, metered)
		started, err := process.StartControl(&settings.Settings{
			InstanceID:      control.InstanceID,
			Role:            settings.RoleControl,
			FailureDomain:   control.FailureDomain,
			PeerAddress:     control.PeerAddress,
			OperatorAddress: "127.0.0.1:0",
			DataFolder:      "memory",
			Controls:        controls,
		}, process.Environment{Network: metered, Folder: &fake.Disk{}, Telemetry: observe.Discard()})
		if err != nil {
			return 0, 0, err
		}
		defer started.Close()
	}
	processor, wire = measureIdleRates(networks)
	return processor, wire, nil
}
