package bench

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/admit"
)

// Figures of the modelled engine.
const (
	engineBatch      = 48
	stepBase         = 12 * time.Millisecond
	stepGrowth       = 500 * time.Microsecond
	prefillTokenTime = 50 * time.Microsecond
	prefillChunk     = 128
	cacheTokens      = 40_000
	maxEngineQueue   = 256
	maxSamples       = 4096
)

// engine batches continuously and keeps the most recently used prefixes.
type engine struct {
	clock    *clock
	name     string
	domain   string
	slowness int
	down     bool
	refuses  bool

	batch        []*job
	waiting      []*job
	busy         bool
	cache        map[uint64]int64
	lastUse      map[uint64]int
	useCount     int
	cachedTokens int64
	history      []loadSample
}

// loadSample is the load at a time.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// job is one dispatch of a request.
type job struct {
	request *request
	prompt  int64
	output  int64
	// done is called at the last token, token at each and failed on a crash.
	token     func()
	done      func()
	failed    func()
	abandoned bool
}

// submit returns false when the engine refuses.
func (e *engine) submit(j *job) bool {
	if e.refuses || len(e.waiting) >= maxEngineQueue {
		return false
	}
	e.waiting = append(e.waiting, j)
	e.fillBatch()
	e.startStep()
	return true
}

// fillBatch admits waiting jobs, the most urgent first.
func (e *engine) fillBatch() {
	for len(e.batch) < engineBatch && len(e.waiting) > 0 {
		best := 0
		for i, j := range e.waiting {
			if j.request.work.class < e.waiting[best].request.work.class {
				best = i
			}
		}
		j := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		work := j.request.work
		j.prompt = work.prompt - e.lookup(j.request.prefix, work.prefix)
		j.output = j.request.output
		e.batch = append(e.batch, j)
	}
	e.record()
}

// lookup returns the cached tokens of a prefix and caches it.
func (e *engine) lookup(prefix uint64, tokens int64) int64 {
	if e.cache == nil {
		e.cache = make(map[uint64]int64)
		e.lastUse = make(map[uint64]int)
	}
	e.useCount++
	e.lastUse[prefix] = e.useCount
	hit := e.cache[prefix]
	if hit > 0 {
		return hit
	}
	e.cache[prefix] = tokens
	e.cachedTokens += tokens
	for e.cachedTokens > cacheTokens {
		e.evict()
	}
	return 0
}

func (e *engine) evict() {
	oldest := uint64(0)
	first := true
	for prefix := range e.cache {
		if first || e.lastUse[prefix] < e.lastUse[oldest] {
			oldest = prefix
			first = false
		}
	}
	e.cachedTokens -= e.cache[oldest]
	delete(e.cache, oldest)
	delete(e.lastUse, oldest)
}

func (e *engine) startStep() {
	if e.busy || len(e.batch) == 0 || e.down {
		return
	}
	e.busy = true
	prompt := e.prefill()
	step := stepBase + time.Duration(len(e.batch))*stepGrowth + time.Duration(prompt)*prefillTokenTime
	e.clock.after(step*time.Duration(max(1, e.slowness)), e.step)
}

// prefill processes one chunk of prompts, the most urgent first.
func (e *engine) prefill() int64 {
	done := int64(0)
	for class := admit.Interactive; class <= admit.Batch; class++ {
		for _, j := range e.batch {
			if j.request.work.class != class {
				continue
			}
			take := min(j.prompt, prefillChunk-done)
			j.prompt -= take
			done += take
		}
	}
	return done
}

// step ends one iteration of the batch.
func (e *engine) step() {
	e.busy = false
	if e.down {
		return
	}
	kept := e.batch[:0]
	var ended []*job
	for _, j := range e.batch {
		if j.prompt == 0 {
			j.output--
			j.token()
		}
		if j.output > 0 && !j.abandoned {
			kept = append(kept, j)
			continue
		}
		ended = append(ended, j)
	}
	e.batch = kept
	e.fillBatch()
	e.startStep()
	for _, j := range ended {
		j.done()
	}
}

// crash fails every job.
func (e *engine) crash() {
	e.down = true
	jobs := append(append([]*job(nil), e.batch...), e.waiting...)
	e.batch = nil
	e.waiting = nil
	e.cache = nil
	e.cachedTokens = 0
	e.record()
	for _, j := range jobs {
		j.failed()
	}
}

func (e *engine) record() {
	e.history = append(e.history, loadSample{at: e.clock.now, running: len(e.batch), waiting: len(e.waiting)})
	if len(e.history) > maxSamples {
		e.history = e.history[1:]
	}
}

// loadAt returns the load as it was at a time.
func (e *engine) loadAt(at time.Time) loadSample {
	found := loadSample{at: at}
	for i := len(e.history) - 1; i >= 0; i-- {
		if !e.history[i].at.After(at) {
			found = e.history[i]
			break
		}
	}
	found.at = at
	return found
}
