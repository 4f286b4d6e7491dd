package bench

import (
	"math/rand/v2"
	"time"

	"github.com/cactusbay/cactusbay/internal/route"
)

const (
	warmUp   = 30 * time.Second
	measured = 90 * time.Second
	// drain lets the requests that were measured end.
	drain       = 100 * time.Second
	calibration = 120 * time.Second
)

// Scenario is a load and its faults.
type Scenario struct {
	Name string
	// Load is the arrival rate as a part of the capacity.
	Load float64
	Lag  time.Duration
	// Cold measures from the start, with empty caches.
	Cold      bool
	Impatient bool
	// fault is planned before the run starts.
	fault func(*site, *arrivals)
}

// Policies are the policy in use and the baselines.
func Policies() map[string]func() route.Policy {
	return map[string]func() route.Policy{
		"balanced":       func() route.Policy { return route.Balanced{} },
		"round robin":    func() route.Policy { return &route.RoundRobin{} },
		"random":         func() route.Policy { return route.Random{} },
		"least reported": func() route.Policy { return route.LeastReported{} },
	}
}

// Scenarios are the loads and faults that are compared.
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

// arrivals send requests open loop at a rate that may change.
type arrivals struct {
	site *site
	rate float64
	end  time.Time
}

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

// Run plays a scenario with a policy.
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

// Capacity is the requests a second that the engines end when each is always
// given the next request of the mix: what one alone does, times their number.
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

func burst(s *site, a *arrivals) {
	baseRate := a.rate
	s.clock.after(warmUp+20*time.Second, func() { a.rate = baseRate * 3 })
	s.clock.after(warmUp+30*time.Second, func() { a.rate = baseRate })
}

func slowServer(s *site, _ *arrivals) {
	s.clock.after(warmUp, func() { s.engines[0].slowness = 4 })
}

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

// retryStorm lets a failure domain's engines refuse everything for a while.
func retryStorm(s *site, _ *arrivals) {
	set := func(refuses bool) {
		for _, e := range s.engines {
			e.refuses = refuses && e.domain == "a"
		}
	}
	s.clock.after(warmUp+20*time.Second, func() { set(true) })
	s.clock.after(warmUp+40*time.Second, func() { set(false) })
}
