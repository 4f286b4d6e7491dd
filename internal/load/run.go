package load

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	maxInFlight = 2048
	// responseGrace is how long after its deadline a response still counts as
	// late rather than unknown.
	responseGrace  = 30 * time.Second
	progressPeriod = time.Second
)

// Options configures a run.
type Options struct {
	Settings *settings.LoadRun
	// Target is the URL of an entry on a loopback address.
	Target string
	HTTP   *http.Client
	// Progress, if not nil, is called about once a second with the numbers of
	// requests due so far and ended.
	Progress func(sent, ended int)
}

// generator sends the planned requests of one run.
type generator struct {
	options Options
	target  string
	keys    []string

	slots    chan struct{}
	inFlight sync.WaitGroup

	mu     sync.Mutex
	ended  int
	report *Report
	works  map[string]*WorkResults
}

// Run sends the configured mix of requests to the target and returns the report
// when all of them have ended. If ctx ends, it starts no more requests and
// aborts those in flight.
func Run(ctx context.Context, options Options) (*Report, error) {
	target, err := checkLoopback(options.Target)
	if err != nil {
		return nil, err
	}
	g := &generator{
		options: options,
		target:  target,
		slots:   make(chan struct{}, maxInFlight),
		report:  &Report{Seed: options.Settings.Seed, Target: target, Rate: options.Settings.Rate},
		works:   make(map[string]*WorkResults),
	}
	for i := range options.Settings.Callers {
		key, err := options.Settings.Callers[i].Key.Read()
		if err != nil {
			return nil, errors.Newf("read key of %s: %w", options.Settings.Callers[i].Workspace, err)
		}
		g.keys = append(g.keys, key)
	}
	startedAt := time.Now()
	g.send(ctx, plan(options.Settings, rand.Text()))
	g.inFlight.Wait()
	g.report.Seconds = time.Since(startedAt).Seconds()
	g.report.Works = make(map[string]WorkResults)
	for name, work := range g.works {
		g.report.Works[name] = work.withSummaries()
	}
	return g.report, nil
}

// checkLoopback returns the target without its path, or an error unless it is an
// http URL with a loopback IP address and a port.
func checkLoopback(target string) (string, error) {
	parsed, err := url.Parse(target)
	if err != nil {
		return "", errors.Newf("target %q is not a URL: %w", target, err)
	}
	address, err := netip.ParseAddrPort(parsed.Host)
	if err != nil || parsed.Scheme != "http" || !address.Addr().IsLoopback() {
		return "", errors.Newf("target %q must be a loopback address such as http://127.0.0.1:8080", target)
	}
	return "http://" + parsed.Host, nil
}

// send starts each request at its planned time, whether or not earlier requests
// have ended.
func (g *generator) send(ctx context.Context, requests []plannedRequest) {
	startedAt := time.Now()
	lastProgress := startedAt
	for i, p := range requests {
		select {
		case <-time.After(time.Until(startedAt.Add(p.at))):
		case <-ctx.Done():
			return
		}
		g.start(ctx, p)
		if time.Since(lastProgress) >= progressPeriod {
			lastProgress = time.Now()
			g.reportProgress(i + 1)
		}
	}
}

// start starts a request in the background. It skips the request if maxInFlight
// requests are in flight.
func (g *generator) start(ctx context.Context, p plannedRequest) {
	g.mu.Lock()
	g.report.Requests++
	g.mu.Unlock()
	select {
	case g.slots <- struct{}{}:
	default:
		g.mu.Lock()
		g.report.Skipped++
		g.mu.Unlock()
		return
	}
	c := &call{generator: g, plannedRequest: p}
	g.inFlight.Add(1)
	go c.run(ctx)
}

func (g *generator) reportProgress(sent int) {
	if g.options.Progress == nil {
		return
	}
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	g.options.Progress(sent, ended)
}

// call is one planned request with its retries.
type call struct {
	generator      *generator
	plannedRequest plannedRequest
}

// run sends the request, retries refusals that name a delay while the deadline
// allows it, and records the last outcome.
func (c *call) run(ctx context.Context) {
	g := c.generator
	defer g.inFlight.Done()
	defer func() { <-g.slots }()
	startedAt := time.Now()
	deadline := c.plannedRequest.work.Deadline.Or(0)
	ctx, cancel := context.WithTimeout(ctx, deadline+responseGrace)
	defer cancel()
	retries := 0
	var refusals []time.Duration
	for {
		attemptStart := time.Now()
		o := c.sendOnce(ctx)
		if o.notRun {
			refusals = append(refusals, o.end.Sub(attemptStart))
		}
		if !o.notRun || o.retryAfter == 0 || retries >= g.options.Settings.Retries || time.Since(startedAt)+o.retryAfter > deadline {
			c.record(startedAt, o, retries, refusals)
			return
		}
		retries++
		sleep.For(ctx, o.retryAfter)
	}
}

// sendOnce makes one attempt. All attempts of a call use the same idempotency key.
func (c *call) sendOnce(ctx context.Context) outcome {
	g := c.generator
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.target+c.plannedRequest.path, bytes.NewReader(c.plannedRequest.body))
	if err != nil {
		return outcome{err: err, end: time.Now()}
	}
	request.Header.Set("Authorization", "Bearer "+g.keys[c.plannedRequest.caller])
	request.Header.Set("Idempotency-Key", c.plannedRequest.key)
	request.Header.Set("Content-Type", "application/json")
	if c.plannedRequest.work.Once {
		request.Header.Set("Cactusbay-Repeatable", "false")
	}
	response, err := g.options.HTTP.Do(request)
	if err != nil {
		return outcome{err: err, end: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(response)
}

func (c *call) record(startedAt time.Time, o outcome, retries int, refusals []time.Duration) {
	g := c.generator
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended++
	work := g.works[c.plannedRequest.work.Name]
	if work == nil {
		work = newWorkResults()
		g.works[c.plannedRequest.work.Name] = work
	}
	work.Retries += retries
	for _, refusal := range refusals {
		record(work.refusal, refusal)
	}
	work.addOutcome(c.plannedRequest, startedAt, o)
}
