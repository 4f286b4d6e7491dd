package budget

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Sizes of the model: a day's budget, requests of up to worstTokens.
const (
	modelDomains  = 3
	worstTokens   = 600
	leastTokens   = 50
	requestsPerS  = 1.0
	runSeconds    = 10
	warmSeconds   = 2 * 3600
	refreshPeriod = 10
	budgetHours   = 24
	meanTokens    = (worstTokens + leastTokens) / 2
	surge         = 3
	fixedPart     = 4
)

var modelShares = [modelDomains]float64{0.7, 0.2, 0.1}

// policy sizes the grants of the model: adaptive, equalSplit or fixedShare.
type policy interface{ isPolicy() }

// adaptive lets a request wait for reservations to be settled.
type adaptive struct{ waitSeconds int }
type equalSplit struct{}
type fixedShare struct{}

func (adaptive) isPolicy()   {}
func (equalSplit) isPolicy() {}
func (fixedShare) isPolicy() {}

// scenario is one run of the model.
type scenario struct {
	policy policy
	// percent of the budget is left when the cut starts.
	percent int
	hours   int
	// surged multiplies the demand of the cut domain while it is cut.
	surged bool
	seed   uint64
}

type outcome struct {
	requests, refused, falseRefused int
	// lost counts refused requests that one pool would have served: a token
	// that was stranded makes up for one request only.
	lost int
	// within counts requests, and withinFalse false refusals, while a side
	// of the cut asked for no more than it held when the cut began.
	within, withinFalse, withinLost int
	overspend                       int64
	// spare is what the lost requests would have spent.
	spare int64
	// stranded is what the other side held at the first false refusal.
	stranded, left int64
}

type settlement struct {
	at     int
	actual int64
}

type waiter struct {
	until  int
	actual int64
	within bool
}

type modelDomain struct {
	name    string
	escrow  Escrow
	demand  Demand
	target  int64
	cut     bool
	running []settlement
	waiting []waiter
}

type model struct {
	scenario
	random  *rand.Rand
	account Account
	domains [modelDomains]*modelDomain
	now     int
	// asked and held are by side of the cut: 0 connected, 1 cut.
	asked, held [2]int64
	outcome     outcome
}

func runModel(s scenario) (outcome, error) {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(s.seed, 7))}
	for i := range m.domains {
		m.domains[i] = &modelDomain{name: fmt.Sprintf("domain-%d", i)}
	}
	hour := requestsPerS * meanTokens * 3600
	m.account.Deposit(int64(hour * (budgetHours*float64(s.percent)/100 + 2)))
	m.advance(warmSeconds)
	m.beginCut()
	m.advance(warmSeconds + s.hours*3600)
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

// beginCut splits what is left by the baselines' rule and cuts one domain.
func (m *model) beginCut() {
	m.split()
	m.domains[m.seed%modelDomains].cut = true
	m.outcome = outcome{left: m.left()}
	m.held[0] = m.account.Pool
	for _, d := range m.domains {
		m.held[side(d)] += d.escrow.Available() + d.escrow.Reserved
	}
}

// split gives each domain its part of what is left.
func (m *model) split() {
	parts := int64(0)
	switch m.policy.(type) {
	case equalSplit:
		parts = modelDomains
	case fixedShare:
		parts = fixedPart
	default:
		return
	}
	for _, d := range m.domains {
		d.escrow.Return(d.escrow.Available())
		m.report(d)
	}
	each := m.account.Pool / parts
	for _, d := range m.domains {
		d.escrow.Granted = m.account.Draw(d.name, d.escrow.Granted, each)
	}
}

func side(d *modelDomain) int {
	if d.cut {
		return 1
	}
	return 0
}

// left returns what the whole budget may still reserve.
func (m *model) left() int64 {
	left := m.account.Pool
	for _, d := range m.domains {
		left += d.escrow.Available()
	}
	return left
}

func (m *model) advance(until int) {
	for ; m.now < until; m.now++ {
		for i, d := range m.domains {
			d.settle(m)
			m.refresh(d)
			m.retry(d)
			for range m.arrivals(i) {
				m.arrive(d)
			}
		}
	}
}

func (m *model) clock() time.Time {
	return time.Unix(int64(m.now), 0)
}

func (m *model) arrivals(i int) int {
	rate := requestsPerS * modelShares[i]
	if m.surged && m.domains[i].cut {
		rate *= surge
	}
	count, product, limit := 0, m.random.Float64(), math.Exp(-rate)
	for product > limit {
		count++
		product *= m.random.Float64()
	}
	return count
}

func (d *modelDomain) settle(m *model) {
	for len(d.running) > 0 && d.running[0].at <= m.now {
		d.escrow.Settle(worstTokens, d.running[0].actual)
		d.demand.Observe(m.clock(), d.running[0].actual)
		d.running = d.running[1:]
	}
}

func (m *model) report(d *modelDomain) {
	if !d.cut {
		_ = m.account.Report(d.name, d.escrow.Counters())
	}
}

// refresh draws ahead and gives idle tokens back.
func (m *model) refresh(d *modelDomain) {
	m.report(d)
	_, follows := m.policy.(adaptive)
	if d.cut || !follows {
		return
	}
	d.target = m.account.Target(d.name)
	if m.now%refreshPeriod == 0 || d.escrow.Low(d.target) {
		ask := Ask{Ahead: true, Demand: d.demand.PerHour(m.clock())}
		d.escrow.Granted, d.target = m.account.DrawFor(d.name, d.escrow.Granted, ask)
	}
	d.escrow.Return(d.escrow.Idle(d.target))
	m.report(d)
}

func (m *model) arrive(d *modelDomain) {
	actual := leastTokens + m.random.Int64N(worstTokens-leastTokens+1)
	m.asked[side(d)] += actual
	w := waiter{until: m.now + m.wait(), actual: actual}
	w.within = m.asked[side(d)]+worstTokens <= m.held[side(d)]
	m.outcome.requests++
	if w.within {
		m.outcome.within++
	}
	if !m.reserve(d, w) {
		d.waiting = append(d.waiting, w)
	}
}

func (m *model) wait() int {
	switch p := m.policy.(type) {
	case adaptive:
		return p.waitSeconds
	default:
		return 0
	}
}

func (m *model) reserve(d *modelDomain, w waiter) bool {
	if d.escrow.Available() < worstTokens {
		m.draw(d)
	}
	if !d.escrow.Reserve(worstTokens) {
		return false
	}
	d.running = append(d.running, settlement{at: m.now + runSeconds, actual: w.actual})
	return true
}

func (m *model) draw(d *modelDomain) {
	_, split := m.policy.(equalSplit)
	if d.cut || (split && m.now >= warmSeconds) {
		return
	}
	need := DrawSize(worstTokens, d.target, d.escrow)
	d.escrow.Granted = m.account.Draw(d.name, d.escrow.Granted, need)
}

func (m *model) retry(d *modelDomain) {
	waiting := d.waiting
	d.waiting = nil
	for _, w := range waiting {
		if m.reserve(d, w) {
			continue
		}
		if m.now < w.until {
			d.waiting = append(d.waiting, w)
			continue
		}
		m.refuse(d, w)
	}
}

func (m *model) refuse(d *modelDomain, w waiter) {
	m.outcome.refused++
	if m.left() < worstTokens {
		return
	}
	if m.outcome.falseRefused == 0 {
		m.outcome.stranded = m.left() - d.escrow.Available()
	}
	m.outcome.falseRefused++
	if m.left()-m.outcome.spare >= worstTokens {
		m.outcome.spare += w.actual
		m.outcome.lost++
		if w.within {
			m.outcome.withinLost++
		}
	}
	if w.within {
		m.outcome.withinFalse++
	}
}
