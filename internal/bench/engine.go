package bench

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/admit"
)

// Parameters of the modelled engine.
const (
	// engineBatch is how many requests the engine runs at once.
	engineBatch = 48
	// A step of the batch takes stepBase plus stepGrowth per request and
	// prefillTokenTime per prompt token processed in it.
	stepBase         = 12 * time.Millisecond
	stepGrowth       = 500 * time.Microsecond
	prefillTokenTime = 50 * time.Microsecond
	// prefillChunk is the maximum number of prompt tokens processed in one
	// step.
	prefillChunk = 128
	// cacheTokens is the size of the prefix cache.
	cacheTokens = 40_000
	// maxEngineQueue is the number of waiting requests at which the engine
	// refuses more.
	maxEngineQueue = 256
	// maxSamples bounds the recorded load history.
	maxSamples = 4096
)

// engine models a model engine with continuous batching, chunked prefill and a
// least-recently-used prefix cache.
type engine struct {
	clock  *clock
	name   string
	domain string
	// slowness multiplies the time of each step; 0 counts as 1.
	slowness int
	down     bool
	// refuses makes the engine refuse all requests.
	refuses bool

	batch   []*job
	waiting []*job
	// busy is set while a step is in progress.
	busy bool
	// cache maps each cached prefix to its length in tokens, and lastUse to the
	// value of useCount at its last lookup.
	cache        map[uint64]int64
	lastUse      map[uint64]int
	useCount     int
	cachedTokens int64
	// history holds the load after each change, oldest first.
	history []loadSample
}

// loadSample is the engine's load at a time.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// job is one attempt of a request at an engine.
type job struct {
	request *request
	// prompt and output are the remaining prompt and output tokens.
	prompt int64
	output int64
	// token is called at each output token, done after the last one, and failed
	// when the engine crashes.
	token  func()
	done   func()
	failed func()
	// abandoned ends the job at its next step because the caller has
	// disconnected.
	abandoned bool
}

// submit queues a job. It returns false if the engine refuses it.
func (e *engine) submit(j *job) bool {
	if e.refuses || len(e.waiting) >= maxEngineQueue {
		return false
	}
	e.waiting = append(e.waiting, j)
	e.fillBatch()
	e.startStep()
	return true
}

// fillBatch moves waiting jobs into the batch, the most urgent class first.
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

// lookup returns how many tokens of a prefix of the given length are cached. A
// prefix that is not cached is added and counts as a miss.
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

// evict removes the least recently used prefix from the cache.
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

// startStep schedules the next step unless one is in progress or there is
// nothing to do.
func (e *engine) startStep() {
	if e.busy || len(e.batch) == 0 || e.down {
		return
	}
	e.busy = true
	prompt := e.prefill()
	step := stepBase + time.Duration(len(e.batch))*stepGrowth + time.Duration(prompt)*prefillTokenTime
	e.clock.after(step*time.Duration(max(1, e.slowness)), e.step)
}

// prefill processes at most prefillChunk prompt tokens, the most urgent class
// first, and returns their number.
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

// step ends a step: each job with a processed prompt emits a token, and ended
// jobs leave the batch.
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

// crash stops the engine, clears its cache and fails all jobs.
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

// record adds the current load to the history.
func (e *engine) record() {
	e.history = append(e.history, loadSample{at: e.clock.now, running: len(e.batch), waiting: len(e.waiting)})
	if len(e.history) > maxSamples {
		e.history = e.history[1:]
	}
}

// loadAt returns the load at a past time.
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
