package backend

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/route"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	pollInterval  = time.Second
	pollTimeout   = 500 * time.Millisecond
	pollWorkers   = 4
	pollQueueSize = 1024
	loadPath      = "/load"
)

// loadReport is a backend server's response to a poll.
type loadReport struct {
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	MaxBatch int   `json:"max_batch"`
	Draining bool  `json:"draining"`
	AgeMS    int64 `json:"age_ms"`
}

// Poller polls the backend servers of a Pool for their load and applies the
// configuration to the Pool once a second.
type Poller struct {
	Pool   *Pool
	Client *Client
	// Document returns the active configuration, or nil.
	Document func() *config.Document

	targets chan target
	workers sync.WaitGroup
	stop    context.CancelFunc
	done    chan struct{}
}

// Start starts polling.
func (p *Poller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.done = make(chan struct{})
	p.targets = make(chan target, pollQueueSize)
	for range pollWorkers {
		p.workers.Add(1)
		go p.loop(ctx)
	}
	go p.run(ctx)
}

// Done returns a channel that is closed when the poller has stopped.
func (p *Poller) Done() <-chan struct{} {
	return p.done
}

// Close stops the poller and waits until it has stopped.
func (p *Poller) Close() {
	p.stop()
	<-p.done
}

// run queues every server once per pollInterval. A server that finds the queue full
// is skipped until the next interval.
func (p *Poller) run(ctx context.Context) {
	defer close(p.done)
	defer p.workers.Wait()
	defer close(p.targets)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.Pool.Update(p.Document())
		for _, t := range p.Pool.targets() {
			select {
			case p.targets <- t:
			default:
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// loop polls the queued servers until the queue is closed.
func (p *Poller) loop(ctx context.Context) {
	defer p.workers.Done()
	for t := range p.targets {
		report, err := p.poll(ctx, t.address)
		if ctx.Err() != nil {
			continue
		}
		p.Pool.report(t.server, report, err)
	}
}

// poll requests the load of the backend server at address. It returns an empty
// report if the server has no load endpoint.
func (p *Poller) poll(ctx context.Context, address string) (route.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	response, err := p.Client.do(ctx, address, &upstream.Request{Method: http.MethodGet, Target: loadPath}, "")
	if err != nil {
		p.Client.closeIdleOnTimeout(ctx, address)
		return route.Report{}, errors.Newf("poll load: %w", err)
	}
	var load loadReport
	err = readReport(response, &load)
	if response.Status == http.StatusNotFound {
		return route.Report{}, nil
	}
	if err != nil {
		return route.Report{}, errors.Newf("poll load: %w", err)
	}
	return route.Report{
		At:       sent.Add(-time.Duration(load.AgeMS) * time.Millisecond),
		Running:  load.Running,
		Waiting:  load.Waiting,
		MaxBatch: load.MaxBatch,
		Draining: load.Draining,
	}, nil
}
