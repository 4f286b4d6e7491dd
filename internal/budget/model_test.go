package budget

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the model. The budget covers budgetHours of the mean demand. A
// request reserves maxTokens, runs for requestSeconds and spends minTokens to
// maxTokens. The partition starts after warmUpSeconds. Adaptive grants are refreshed
// every refreshPeriod seconds.
const (
	modelDomains      = 3
	maxTokens         = 600
	minTokens         = 50
	requestsPerSecond = 1.0
	requestSeconds    = 10
	warmUpSeconds     = 2 * 3600
	refreshPeriod     = 10
	budgetHours       = 24
	meanTokens        = (maxTokens + minTokens) / 2
	surgeFactor       = 3
	fixedShareDivisor = 4
)

// demandFractions are the portions of all requests that arrive at each domain.
var demandFractions = [modelDomains]float64{0.7, 0.2, 0.1}

// policy determines how the model sizes grants: adaptive, equalSplit or
// fixedShare.
type policy interface{ isPolicy() }

// adaptive sizes grants by demand. A request waits up to waitSeconds for tokens.
type adaptive struct{ waitSeconds int }

// equalSplit divides the remaining budget equally among the domains when the
// partition starts. Nothing is drawn afterwards.
type equalSplit struct{}

// fixedShare grants each domain 1/fixedShareDivisor of the remaining budget when the
// partition starts. Connected domains may draw the rest.
type fixedShare struct{}

func (adaptive) isPolicy()   {}
func (equalSplit) isPolicy() {}
func (fixedShare) isPolicy() {}

// scenario is one run of the model.
type scenario struct {
	policy policy
	// percent is how much of the budget remains when the partition starts.
	percent int
	// hours is the duration of the partition.
	hours int
	// surged multiplies the demand of the isolated domain by surgeFactor.
	surged bool
	seed   uint64
}

// outcome counts requests and tokens during the partition.
type outcome struct {
	// falselyRefused counts requests refused although enough tokens remained in
	// the whole budget.
	requests, refused, falselyRefused int
	// lost counts refused requests that a single pool would have served. Each
	// remaining token is counted for one lost request only.
	lost int
	// covered counts the requests that arrived while their side of the partition
	// had requested no more tokens than it held when the partition started.
	// coveredFalselyRefused and coveredLost count those of them that were
	// falsely refused and lost.
	covered, coveredFalselyRefused, coveredLost int
	overspend                                   int64
	// lostTokens is the number of tokens that the lost requests would have spent.
	lostTokens int64
	// stranded is the number of tokens outside the refusing domain at the first
	// false refusal, and remaining all tokens when the partition started.
	stranded, remaining int64
}

// settlement is the end of a request: the second at which it settles and the
// tokens that it spends.
type settlement struct {
	at     int
	actual int64
}

// waiter is a request that waits for tokens until the second deadline.
type waiter struct {
	deadline int
	actual   int64
	covered  bool
}

// modelDomain is a failure domain with one ledger.
type modelDomain struct {
	name     string
	escrow   Escrow
	demand   Demand
	target   int64
	isolated bool
	inFlight []settlement
	waiting  []waiter
}

// model simulates a budget shared by failure domains, one of which is isolated
// from the pool by a network partition. Time advances in seconds.
type model struct {
	scenario
	random  *rand.Rand
	account Account
	domains [modelDomains]*modelDomain
	now     int
	// requested and held are tokens by side of the partition: 0 is connected, 1
	// is isolated.
	requested, held [2]int64
	outcome         outcome
}

func runModel(s scenario) (outcome, error) {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(s.seed, 7))}
	for i := range m.domains {
		m.domains[i] = &modelDomain{name: fmt.Sprintf("domain-%d", i)}
	}
	hour := requestsPerSecond * meanTokens * 3600
	m.account.Deposit(int64(hour * (budgetHours*float64(s.percent)/100 + 2)))
	m.advance(warmUpSeconds)
	m.startPartition()
	m.advance(warmUpSeconds + s.hours*3600)
	return m.outcome, m.check()
}

func (m *model) check() error {
	var billed int64
	for _, d := range m.domains {
		billed += d.escrow.Billed
		err := d.escrow.Check()
		if err != nil {
			return err
		}
	}
	m.outcome.overspend = max(0, billed-m.account.Deposited)
	return m.account.Check()
}

// startPartition splits the remaining budget if the policy requires it, isolates
// one domain and resets the outcome.
func (m *model) startPartition() {
	m.splitRemaining()
	m.domains[m.seed%modelDomains].isolated = true
	m.outcome = outcome{remaining: m.remaining()}
	m.held[0] = m.account.Pool
	for _, d := range m.domains {
		m.held[side(d)] += d.escrow.Available() + d.escrow.Reserved
	}
}

// splitRemaining draws an equal grant for each domain if the policy is equalSplit
// or fixedShare.
func (m *model) splitRemaining() {
	divisor := int64(0)
	switch m.policy.(type) {
	case equalSplit:
		divisor = modelDomains
	case fixedShare:
		divisor = fixedShareDivisor
	default:
		return
	}
	for _, d := range m.domains {
		d.escrow.Return(d.escrow.Available())
		m.report(d)
	}
	each := m.account.Pool / divisor
	for _, d := range m.domains {
		d.escrow.Granted = m.account.Draw(d.name, d.escrow.Granted, each)
	}
}

func side(d *modelDomain) int {
	if d.isolated {
		return 1
	}
	return 0
}

// remaining returns the number of tokens that can still be reserved in the pool and
// in all domains.
func (m *model) remaining() int64 {
	remaining := m.account.Pool
	for _, d := range m.domains {
		remaining += d.escrow.Available()
	}
	return remaining
}

func (m *model) advance(until int) {
	for ; m.now < until; m.now++ {
		for i, d := range m.domains {
			d.settle(m)
			m.refresh(d)
			m.retryWaiting(d)
			for range m.arrivals(i) {
				m.arrive(d)
			}
		}
	}
}

func (m *model) clock() time.Time {
	return time.Unix(int64(m.now), 0)
}

// arrivals returns a Poisson-distributed number of requests for one second.
func (m *model) arrivals(i int) int {
	rate := requestsPerSecond * demandFractions[i]
	if m.surged && m.domains[i].isolated {
		rate *= surgeFactor
	}
	count, product, limit := 0, m.random.Float64(), math.Exp(-rate)
	for product > limit {
		count++
		product *= m.random.Float64()
	}
	return count
}

func (d *modelDomain) settle(m *model) {
	for len(d.inFlight) > 0 && d.inFlight[0].at <= m.now {
		d.escrow.Settle(maxTokens, d.inFlight[0].actual)
		d.demand.Observe(m.clock(), d.inFlight[0].actual)
		d.inFlight = d.inFlight[1:]
	}
}

func (m *model) report(d *modelDomain) {
	if !d.isolated {
		_ = m.account.Report(d.name, d.escrow.Counters())
	}
}

// refresh draws ahead and returns idle tokens if the policy is adaptive.
func (m *model) refresh(d *modelDomain) {
	m.report(d)
	_, isAdaptive := m.policy.(adaptive)
	if d.isolated || !isAdaptive {
		return
	}
	d.target = m.account.Target(d.name)
	if m.now%refreshPeriod == 0 || d.escrow.Low(d.target) {
		request := DrawRequest{UpToTarget: true, Demand: d.demand.PerHour(m.clock())}
		d.escrow.Granted, d.target = m.account.DrawFor(d.name, d.escrow.Granted, request)
	}
	d.escrow.Return(d.escrow.Idle(d.target))
	m.report(d)
}

func (m *model) arrive(d *modelDomain) {
	actual := minTokens + m.random.Int64N(maxTokens-minTokens+1)
	m.requested[side(d)] += actual
	w := waiter{deadline: m.now + m.maxWait(), actual: actual}
	w.covered = m.requested[side(d)]+maxTokens <= m.held[side(d)]
	m.outcome.requests++
	if w.covered {
		m.outcome.covered++
	}
	if !m.reserve(d, w) {
		d.waiting = append(d.waiting, w)
	}
}

func (m *model) maxWait() int {
	switch p := m.policy.(type) {
	case adaptive:
		return p.waitSeconds
	default:
		return 0
	}
}

func (m *model) reserve(d *modelDomain, w waiter) bool {
	if d.escrow.Available() < maxTokens {
		m.draw(d)
	}
	if !d.escrow.Reserve(maxTokens) {
		return false
	}
	d.inFlight = append(d.inFlight, settlement{at: m.now + requestSeconds, actual: w.actual})
	return true
}

func (m *model) draw(d *modelDomain) {
	_, split := m.policy.(equalSplit)
	if d.isolated || (split && m.now >= warmUpSeconds) {
		return
	}
	need := DrawSize(maxTokens, d.target, d.escrow)
	d.escrow.Granted = m.account.Draw(d.name, d.escrow.Granted, need)
}

func (m *model) retryWaiting(d *modelDomain) {
	waiting := d.waiting
	d.waiting = nil
	for _, w := range waiting {
		if m.reserve(d, w) {
			continue
		}
		if m.now < w.deadline {
			d.waiting = append(d.waiting, w)
			continue
		}
		m.refuse(d, w)
	}
}

func (m *model) refuse(d *modelDomain, w waiter) {
	m.outcome.refused++
	if m.remaining() < maxTokens {
		return
	}
	if m.outcome.falselyRefused == 0 {
		m.outcome.stranded = m.remaining() - d.escrow.Available()
	}
	m.outcome.falselyRefused++
	if m.remaining()-m.outcome.lostTokens >= maxTokens {
		m.outcome.lostTokens += w.actual
		m.outcome.lost++
		if w.covered {
			m.outcome.coveredLost++
		}
	}
	if w.covered {
		m.outcome.coveredFalselyRefused++
	}
}
