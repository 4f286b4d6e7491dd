package bench

import (
	"math/rand/v2"
	"time"

	"github.com/cactusbay/cactusbay/internal/route"
)

const (
	// warmUp is the time before the measurement, in which the caches fill.
	warmUp = 30 * time.Second
	// measured is the length of the measurement.
	measured = 90 * time.Second
	// drain is the time after the measurement in which the measured requests
	// end.
	drain = 100 * time.Second
	// calibration is the length of the capacity measurement.
	calibration = 120 * time.Second
)

// Scenario is a load and the faults injected into it.
type Scenario struct {
	Name string
	// Load is the arrival rate as a fraction of the capacity.
	Load float64
	// Lag is the age of load reports; 0 means the default of 200 ms.
	Lag time.Duration
	// Cold starts the measurement without warm-up, with empty caches.
	Cold bool
	// Impatient callers retry at once and ignore the retry delay of a refusal.
	Impatient bool
	// fault, if not nil, schedules faults before the run starts.
	fault func(*site, *arrivals)
}

// Policies returns constructors of the policy in use and of the baseline
// policies, by name.
func Policies() map[string]func() route.Policy {
	return map[string]func() route.Policy{
		"lowest cost":    func() route.Policy { return route.LowestCost{} },
		"round robin":    func() route.Policy { return &route.RoundRobin{} },
		"random":         func() route.Policy { return route.Random{} },
		"least reported": func() route.Policy { return route.LeastReported{} },
	}
}

// Scenarios returns the loads and faults under which policies are compared.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "60%", Load: 0.6},
		{Name: "90%", Load: 0.9},
		{Name: "100%", Load: 1},
		{Name: "120%", Load: 1.2},
		{Name: "150%", Load: 1.5},
		{Name: "180%", Load: 1.8},
		{Name: "burst", Load: 0.6, fault: burst},
		{Name: "slow server", Load: 0.8, fault: slowServer},
		{Name: "crashed domain", Load: 0.55, fault: crashedDomain},
		{Name: "cold cache", Load: 0.9, Cold: true},
		{Name: "reports 5s late", Load: 0.9, Lag: 5 * time.Second},
		{Name: "retry storm", Load: 0.6, Impatient: true, fault: retryStorm},
	}
}

// arrivals generates requests in an open loop as a Poisson process. Its rate
// may change during the run.
type arrivals struct {
	site *site
	rate float64
	end  time.Time
}

// scheduleNext schedules the next request, unless the end has been reached.
func (a *arrivals) scheduleNext() {
	if !a.site.clock.now.Before(a.end) {
		return
	}
	pause := time.Duration(a.site.random.ExpFloat64() / a.rate * float64(time.Second))
	a.site.clock.after(pause, func() {
		a.site.arrive(newRequest(a.site.random, a.site.clock.now))
		a.scheduleNext()
	})
}

// Run simulates a scenario with a policy. capacity is the total rate in
// requests per second from Capacity.
func Run(scenario Scenario, policy func() route.Policy, capacity float64, seed uint64) *Results {
	lag := scenario.Lag
	if lag == 0 {
		lag = defaultLag
	}
	s := newSite(policy, seed, lag)
	s.impatient = scenario.Impatient
	s.results.from = startTime.Add(warmUp)
	if scenario.Cold {
		s.results.from = startTime
	}
	s.results.until = startTime.Add(warmUp + measured)
	a := &arrivals{site: s, rate: scenario.Load * capacity, end: s.results.until}
	if scenario.fault != nil {
		scenario.fault(s, a)
	}
	a.scheduleNext()
	s.clock.runUntil(s.results.until.Add(drain))
	return s.results
}

// Capacity returns the throughput of all engines in requests per second. It
// measures one engine that runs a full batch of the request mix at all times,
// and multiplies by the number of engines.
func Capacity(seed uint64) float64 {
	c := &clock{now: startTime}
	e := &engine{clock: c, name: "alone"}
	random := rand.New(rand.NewPCG(seed, 3))
	ended := 0
	var submitNext func()
	submitNext = func() {
		r := newRequest(random, c.now)
		e.submit(&job{request: r, token: func() {}, done: func() {
			if c.now.After(startTime.Add(warmUp)) {
				ended++
			}
			submitNext()
		}})
	}
	for range engineBatch {
		submitNext()
	}
	c.runUntil(startTime.Add(warmUp + calibration))
	return float64(ended) / calibration.Seconds() * domains * enginesPerDomain
}

// burst triples the arrival rate for 10 seconds.
func burst(s *site, a *arrivals) {
	baseRate := a.rate
	s.clock.after(warmUp+20*time.Second, func() { a.rate = baseRate * 3 })
	s.clock.after(warmUp+30*time.Second, func() { a.rate = baseRate })
}

// slowServer makes one engine four times slower.
func slowServer(s *site, _ *arrivals) {
	s.clock.after(warmUp, func() { s.engines[0].slowness = 4 })
}

// crashedDomain stops all entries and engines of one failure domain.
func crashedDomain(s *site, _ *arrivals) {
	s.clock.after(warmUp+20*time.Second, func() {
		for _, e := range s.entries {
			e.down = e.domain == "c"
		}
		for _, e := range s.engines {
			if e.domain == "c" {
				e.crash()
			}
		}
	})
}

// retryStorm makes the engines of one failure domain refuse all requests for 20
// seconds.
func retryStorm(s *site, _ *arrivals) {
	set := func(refuses bool) {
		for _, e := range s.engines {
			e.refuses = refuses && e.domain == "a"
		}
	}
	s.clock.after(warmUp+20*time.Second, func() { set(true) })
	s.clock.after(warmUp+40*time.Second, func() { set(false) })
}
