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

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	changesPerSize = 4
	changeTimeout  = 20 * time.Second
	modelCount     = 16
	workspaceCount = 200
	domainCount    = 16
	// serversPerSubnet keeps each byte of the generated IP addresses below 256.
	serversPerSubnet = 200
)

var (
	serverCounts = []int{25, 200, 750, 3000, 12_000}
)

// newDocument returns a configuration with the given number of backend servers,
// spread evenly over modelCount works and domainCount failure domains, and with
// workspaceCount workspaces.
func newDocument(servers int) *config.Document {
	d := &config.Document{
		Workspaces:     make(map[string]config.Workspace),
		BackendServers: make(map[string]config.BackendServer),
		Works:          make(map[string]config.Work),
		Routes:         make(map[string]config.Route),
	}
	members := make([][]string, modelCount)
	for i := range servers {
		name := fmt.Sprintf("engine-%05d", i)
		d.BackendServers[name] = config.BackendServer{
			Address:       fmt.Sprintf("10.%d.%d.%d:8000", i/serversPerSubnet/serversPerSubnet, i/serversPerSubnet%serversPerSubnet, i%serversPerSubnet+1),
			FailureDomain: fmt.Sprintf("domain-%02d", i%domainCount),
			Kind:          config.KindModel,
			Concurrency:   64,
		}
		members[i%modelCount] = append(members[i%modelCount], name)
	}
	var works []string
	for i, names := range members {
		work := fmt.Sprintf("model-%02d", i)
		works = append(works, work)
		d.Works[work] = config.Work{Kind: config.KindModel, Model: work, BackendServers: names}
		d.Routes[work] = config.Route{Work: work}
	}
	for i := range workspaceCount {
		name := fmt.Sprintf("%s%03d", workspacePrefix, i)
		d.Workspaces[name] = config.Workspace{KeyHashes: []string{config.HashKey(name)}, Works: works}
	}
	return d
}

// newStatePatch returns a patch against version number that changes the state of
// one backend server, alternating between active and leaving.
func newStatePatch(number uint64) group.PatchConfiguration {
	state := config.StateLeaving
	if number%2 == 0 {
		state = config.StateActive
	}
	return group.PatchConfiguration{
		ID:      fmt.Sprintf("patch-%d", number),
		Against: number,
		Patch:   fmt.Appendf(nil, `{"backend_servers":{"engine-00007":{"state":%q}}}`, state),
	}
}

// measureChanges adds the slopes of the cost of a configuration change, per
// backend server in the configuration.
func measureChanges(report *Report) error {
	points := make(map[string][]Point)
	for _, size := range serverCounts {
		err := addChangeCosts(size, points)
		if err != nil {
			return errors.Newf("measure configuration of %d servers: %w", size, err)
		}
	}
	report.add(Fit("configuration_document", "bytes", "backend server", points["document"]))
	report.add(Fit("change_group_processor", "s", "backend server", points["group"]))
	report.add(Fit("change_entry_processor", "s", "backend server, one watcher and its call", points["entry"]))
	report.add(Fit("change_entry_wire", "bytes", "backend server", points["wire"]))
	report.add(Fit("change_group_memory", "bytes", "backend server, kept for each version", points["memory"]))
	report.add(Fit("entry_configuration_memory", "bytes", "backend server", points["parsed"]))
	return nil
}

// addChangeCosts adds the costs of a change in a configuration of size backend
// servers to points. The group's cost is measured first without a watcher, and
// subtracted from the cost with one to get the entry's cost.
func addChangeCosts(size int, points map[string][]Point) error {
	add := func(name string, cost float64) {
		points[name] = append(points[name], Point{Size: float64(size), Cost: cost})
	}
	data, err := json.Marshal(newDocument(size))
	if err != nil {
		return errors.Newf("encode document: %w", err)
	}
	before := liveHeapBytes()
	parsed, err := config.Parse(data)
	if err != nil {
		return err
	}
	add("parsed", float64(liveHeapBytes())-float64(before))
	add("document", float64(len(data)))
	g := group.New(nil)
	mux := http.NewServeMux()
	g.Handle(mux, "", directLog{group: g})
	s, err := serve(mux)
	if err != nil {
		return err
	}
	defer s.close()
	propose := func(patch group.PatchConfiguration) error {
		result, err := group.Propose(context.Background(), directLog{group: g}, patch)
		if err == nil && result.Code != group.CodeDone {
			err = errors.Newf("patch configuration: %s: %s", result.Code, result.Detail)
		}
		return err
	}
	err = propose(group.PatchConfiguration{ID: "first", Patch: data})
	if err != nil {
		return err
	}
	metered := &network{}
	watcher := &group.Watcher{Directory: group.NewDirectory(s.address), Client: &peer.Client{HTTP: transport.Client(metered)}, Log: log.New(io.Discard)}
	usageBefore, heapBefore := measureUsage(), liveHeapBytes()
	for i := range changesPerSize {
		err = propose(newStatePatch(uint64(i) + 1))
		if err != nil {
			return err
		}
	}
	processor, _, _ := measureUsage().since(usageBefore)
	add("group", processor.Seconds()/changesPerSize)
	add("memory", (float64(liveHeapBytes())-float64(heapBefore))/changesPerSize)
	watcher.Start()
	defer watcher.Close()
	<-watcher.Ready()
	wire := metered.counter(s.address).Load()
	start := measureUsage()
	for i := range changesPerSize {
		err = propose(newStatePatch(uint64(changesPerSize+i) + 1))
		if err != nil {
			return err
		}
		err = awaitVersion(watcher, uint64(changesPerSize+i)+2)
		if err != nil {
			return err
		}
	}
	withWatcher, _, _ := measureUsage().since(start)
	add("entry", max(0, withWatcher.Seconds()-processor.Seconds())/changesPerSize)
	add("wire", float64(metered.counter(s.address).Load()-wire)/changesPerSize)
	if len(parsed.BackendServers) != size {
		return errors.Newf("parse document: unexpected number of backend servers: %d", len(parsed.BackendServers))
	}
	return nil
}

func awaitVersion(watcher *group.Watcher, number uint64) error {
	deadline := time.Now().Add(changeTimeout)
	for watcher.Active().Number < number {
		if time.Now().After(deadline) {
			return errors.Newf("wait for configuration version %d: timed out", number)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}
