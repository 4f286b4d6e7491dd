package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/observe"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	requestCallers  = 64
	requestsPerSize = 320
	warmUpRequests  = 128
	requestTimeout  = 20 * time.Second
	// engineStepTime is the shortest step; zero would select the default of the
	// fake engine.
	engineStepTime  = time.Nanosecond
	latencyRequests = 1000
	firstSitePort   = 20_000
	lastPort        = 40_000
	// portsPerSite is the length of the port range, from the port of the entry
	// on, in which a site listens.
	portsPerSite   = 14
	portSearchStep = 16
	depositTokens  = 1 << 40
)

var responseTokens = []int{16, 64, 128}

// Site is a development site on loopback that counts the bytes of its peer
// connections and the writes and syncs of its data folder.
type Site struct {
	dev     *process.Dev
	network *network
	folder  *folder
	path    string
	client  *http.Client
}

// OpenSite starts a site whose fake engine responds almost without delay. The
// caller closes it.
func OpenSite() (*Site, error) {
	address, err := freeAddress(firstSitePort)
	if err != nil {
		return nil, err
	}
	addresses, err := process.DevAddressesFor(address)
	if err != nil {
		return nil, err
	}
	path, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, errors.Newf("create data folder: %w", err)
	}
	files, err := disk.Open(path)
	if err != nil {
		return nil, err
	}
	s := &Site{network: &network{}, folder: &folder{Folder: files}, path: path, client: transport.Client(transport.TCP{})}
	environment := process.Environment{Network: s.network, Folder: s.folder, Telemetry: observe.Discard()}
	s.dev, err = process.StartDev(addresses, path, environment)
	if err != nil {
		return nil, errors.Newf("start site: %w", err)
	}
	s.dev.Engine.StepTime = engineStepTime
	err = s.deposit()
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// deposit deposits more tokens for the demo workspace than a run can use.
func (s *Site) deposit() error {
	body := fmt.Sprintf(`{"id":"capacity","workspace":"demo","tokens":%d}`, int64(depositTokens))
	return s.post(s.dev.Addresses.Operator, "/v1/deposits", process.DevOperatorKey, body)
}

// Close stops the site and removes its data folder.
func (s *Site) Close() {
	s.client.CloseIdleConnections()
	s.dev.Close()
	_ = os.RemoveAll(s.path)
}

// freeAddress returns the first address of a range of free loopback ports that
// is large enough for a site. It searches upwards from the port first.
func freeAddress(first int) (string, error) {
	for port := first; port < lastPort; port += portSearchStep {
		if portsFree(port) {
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		}
	}
	return "", errors.New("find free ports: none on 127.0.0.1")
}

// portsFree reports whether portsPerSite loopback ports from first on are free.
func portsFree(first int) bool {
	for port := first; port < first+portsPerSite; port++ {
		socket, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = socket.Close()
	}
	return true
}

func (s *Site) post(address, path, key, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return errors.Newf("create request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Request-Id", "capacity")
	response, err := s.client.Do(request)
	if err != nil {
		return errors.Newf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Newf("send request: unexpected status %d", response.StatusCode)
	}
	return err
}

// chat sends a chat completions request to address and reads its streamed
// response of the given number of tokens.
func (s *Site) chat(address string, tokens int) error {
	body := fmt.Sprintf(`{"model":"demo","stream":true,"messages":[{"role":"user","content":"hello"}],"max_tokens":%d}`, tokens)
	return s.post(address, "/v1/chat/completions", process.DevKey, body)
}

// measureRequests adds the slopes of the cost of a request per token of its
// response. It compares requests through an entry with direct requests to the
// same fake engine; the difference is the cost of the entry, the ledger and
// the calls between them.
func measureRequests(report *Report) error {
	s, err := OpenSite()
	if err != nil {
		return err
	}
	defer s.Close()
	points := make(map[string][]Point)
	for _, tokens := range responseTokens {
		err = s.addRequestCosts(tokens, points)
		if err != nil {
			return errors.Newf("measure responses of %d tokens: %w", tokens, err)
		}
	}
	report.add(Fit("request_path_processor", "s", "token of an answer; the intercept is by request", points["processor"]))
	report.add(Fit("request_path_allocations", "allocations", "token of an answer; the intercept is by request", points["allocations"]))
	report.add(Fit("request_path_allocated", "bytes", "token of an answer; the intercept is by request", points["allocated"]))
	report.add(Fit("request_peer_wire", "bytes", "token of an answer; the intercept is by request", points["wire"]))
	report.add(Fit("request_direct_processor", "s", "token of an answer, caller and stand-in engine alone", points["direct"]))
	return nil
}

// addRequestCosts adds the mean costs of a request with a response of the given
// number of tokens to points.
func (s *Site) addRequestCosts(tokens int, points map[string][]Point) error {
	add := func(name string, cost float64) {
		points[name] = append(points[name], Point{Size: float64(tokens), Cost: cost / requestsPerSize})
	}
	run := func(address string, count int) error {
		return runConcurrently(count, requestCallers, func(int) error { return s.chat(address, tokens) })
	}
	for _, address := range []string{s.dev.Addresses.Engine, s.dev.Addresses.Entry} {
		err := run(address, warmUpRequests)
		if err != nil {
			return err
		}
	}
	start := measureUsage()
	err := run(s.dev.Addresses.Engine, requestsPerSize)
	if err != nil {
		return err
	}
	direct, directAllocations, directAllocated := measureUsage().since(start)
	wire := s.network.counter(s.dev.Addresses.Peer).Load()
	start = measureUsage()
	err = run(s.dev.Addresses.Entry, requestsPerSize)
	if err != nil {
		return err
	}
	path, allocations, allocated := measureUsage().since(start)
	add("direct", direct.Seconds())
	add("processor", path.Seconds()-direct.Seconds())
	add("allocations", allocations-directAllocations)
	add("allocated", allocated-directAllocated)
	add("wire", float64(s.network.counter(s.dev.Addresses.Peer).Load()-wire))
	return nil
}

// Latency compares requests through an entry (the path) with direct requests to
// the engine, with Callers requests in flight. Processor, Allocations and
// AllocatedKiB are what the path adds to one direct request. MeanSync is the
// mean time of one disk sync. RequestsPerSecond is the throughput of the path.
type Latency struct {
	Callers                   int
	DirectMedian, DirectP99   time.Duration
	PathMedian, PathP99       time.Duration
	MeanSync                  time.Duration
	RequestsPerSecond         float64
	Processor                 time.Duration
	Allocations, AllocatedKiB float64
}

// MeasureLatency measures requests with responses of 16 tokens, sent by the
// given number of concurrent callers, through the entry and directly to the
// engine.
func (s *Site) MeasureLatency(callers int) (Latency, error) {
	result := Latency{Callers: callers}
	var err error
	result.DirectMedian, result.DirectP99, err = s.time(s.dev.Addresses.Engine, callers)
	if err != nil {
		return result, err
	}
	direct := measureUsage()
	_, _, err = s.time(s.dev.Addresses.Engine, callers)
	if err != nil {
		return result, err
	}
	used, allocations, allocated := measureUsage().since(direct)
	syncs, syncTime := s.folder.syncs.Load(), s.folder.syncTime.Load()
	start := measureUsage()
	result.PathMedian, result.PathP99, err = s.time(s.dev.Addresses.Entry, callers)
	if err != nil {
		return result, err
	}
	end := measureUsage()
	pathUsed, pathAllocations, pathAllocated := end.since(start)
	result.Processor = (pathUsed - used) / latencyRequests
	result.Allocations = (pathAllocations - allocations) / latencyRequests
	result.AllocatedKiB = (pathAllocated - allocated) / latencyRequests / 1024
	result.RequestsPerSecond = latencyRequests / end.wall.Sub(start.wall).Seconds()
	result.MeanSync = time.Duration((s.folder.syncTime.Load() - syncTime) / max(1, s.folder.syncs.Load()-syncs))
	return result, nil
}

// time sends latencyRequests requests to address and returns the median and the
// 99th percentile of their times.
func (s *Site) time(address string, callers int) (median, p99 time.Duration, err error) {
	var mu sync.Mutex
	var times []time.Duration
	err = runConcurrently(latencyRequests, callers, func(int) error {
		start := time.Now()
		err := s.chat(address, 16)
		mu.Lock()
		defer mu.Unlock()
		times = append(times, time.Since(start))
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2], times[len(times)*99/100], nil
}
