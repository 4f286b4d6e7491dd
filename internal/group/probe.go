package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/sleep"
)

// majorityWait is how long a starting instance waits for responses from a
// majority of the control instances before it accepts fewer.
const majorityWait = 3 * time.Second

// prober polls the control instances other than the source in rotation, which
// reveals a source that is stuck, empty or isolated from the control group.
type prober struct {
	watcher    *Watcher
	lastProbed string
	// running tracks the probes in progress. They run concurrently, so that one
	// that hangs does not delay the next.
	running sync.WaitGroup
	done    chan struct{}
}

// run starts a probe every probeInterval until ctx ends.
func (p *prober) run(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		sleep.For(ctx, probeInterval)
		address, found := p.nextTarget()
		if found && ctx.Err() == nil {
			p.running.Go(func() { p.probe(ctx, address) })
		}
	}
	p.running.Wait()
}

// nextTarget returns the next control instance in rotation that is not the
// source, or false if there is none.
func (p *prober) nextTarget() (string, bool) {
	w := p.watcher
	w.mu.Lock()
	source := w.source
	w.mu.Unlock()
	next, _ := w.Directory.nextAfter(p.lastProbed)
	if next == source {
		next, _ = w.Directory.nextAfter(next)
	}
	p.lastProbed = next
	return next, next != source
}

// probe updates the version in force from a control instance. It makes that
// instance the source after maxStaleProbes probes that found a newer version, or
// if it is nearer than a source that was used for minSourceTime.
func (p *prober) probe(ctx context.Context, address string) {
	w := p.watcher
	before := w.Active().Number
	response, err := w.fetchUpdate(ctx, address, watchRequest{}, probeTimeout)
	if err != nil || response.Leaving || response.Lagging {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if response.Number > before {
		w.staleProbes++
	}
	if w.staleProbes >= maxStaleProbes {
		w.setSource(address)
		return
	}
	addresses := w.Directory.Addresses()
	nearer := slices.Index(addresses, address) < slices.Index(addresses, w.source) && response.Number >= w.active.Number
	if nearer && time.Since(w.sourceSince) >= minSourceTime {
		w.setSource(address)
	}
}

// versionQuery queries one control instance for its version number.
type versionQuery struct {
	watcher *Watcher
	address string
	results chan<- versionResult
}

// versionResult is the response to a versionQuery or its error.
type versionResult struct {
	address  string
	response *watchResponse
	err      error
}

func (q versionQuery) run(ctx context.Context) {
	response, _, err := q.watcher.queryNewer(ctx, q.address, watchRequest{NumberOnly: true}, probeTimeout)
	q.results <- versionResult{address: q.address, response: response, err: err}
}

// installFirst puts the first version in force: the highest one among a
// majority of the control instances or, after majorityWait, among those that
// respond.
func (w *Watcher) installFirst(ctx context.Context) {
	start := time.Now()
	for ctx.Err() == nil {
		best, confirmed := w.findNewest(ctx)
		if best.address != "" && (confirmed || time.Since(start) >= majorityWait) {
			_, err := w.fetchDocument(ctx, best.address)
			if err == nil {
				w.mu.Lock()
				w.setSource(best.address)
				w.sourceSince = time.Time{}
				w.mu.Unlock()
				return
			}
		}
		sleep.For(ctx, watchRetry)
	}
}

// newestVersion is the highest version of the control instances that responded; its
// zero value means that there is none.
type newestVersion struct {
	address string
	number  uint64
}

// findNewest queries every control instance and returns the one with the highest
// version. The version is confirmed if a majority responded and no instance has
// reported a higher one to them.
func (w *Watcher) findNewest(ctx context.Context) (best newestVersion, confirmed bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := w.Directory.Addresses()
	members := len(w.Directory.Members())
	results := make(chan versionResult, len(addresses))
	for _, address := range addresses {
		go versionQuery{watcher: w, address: address, results: results}.run(ctx)
	}
	var highestReported uint64
	responses := 0
	for range addresses {
		result := <-results
		if result.err != nil {
			continue
		}
		responses++
		highestReported = max(highestReported, result.response.HighestReported)
		if result.response.Number > best.number {
			best = newestVersion{address: result.address, number: result.response.Number}
		}
		confirmed = responses > members/2 && best.number > 0 && best.number >= highestReported
		if confirmed {
			return best, true
		}
	}
	return best, false
}
