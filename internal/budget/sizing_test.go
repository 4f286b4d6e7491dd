package budget

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var sizing = flag.Bool("sizing", false, "print the table of all 20 seeds")

// TestMain fixes the seed, so that every run has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// sumOutcomes adds the outcomes of a scenario's seeds.
func sumOutcomes(t *testing.T, s scenario, seeds int) outcome {
	var total outcome
	for seed := range seeds {
		s.seed = uint64(seed)
		result, err := runModel(s)
		if err != nil {
			t.Fatalf("%+v: %v", s, err)
		}
		if result.overspend != 0 {
			t.Fatalf("%+v: overspent by %d", s, result.overspend)
		}
		total.requests += result.requests
		total.refused += result.refused
		total.falselyRefused += result.falselyRefused
		total.lost += result.lost
		total.coveredLost += result.coveredLost
		total.covered += result.covered
		total.coveredFalselyRefused += result.coveredFalselyRefused
		total.stranded += result.stranded
		total.remaining += result.remaining
	}
	return total
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(1, whole))
}

func TestSizingTable(t *testing.T) {
	if !*sizing {
		t.Skip("a measurement: make bench-sizing")
	}
	const seeds = 20
	fmt.Println("| demand in the cut | left | cut | policy | requests | refused | refused with room left | lost against one pool | lost within past demand | stranded |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, surged := range []bool{false, true} {
		for _, remaining := range []int{100, 50, 10} {
			for _, hours := range []int{1, 8} {
				for _, p := range []policy{adaptive{}, adaptive{waitSeconds: 2}, adaptive{waitSeconds: 12}, fixedShare{}, equalSplit{}} {
					o := sumOutcomes(t, scenario{policy: p, percent: remaining, hours: hours, surged: surged}, seeds)
					fmt.Printf("| %s | %d%% | %d h | %s | %d | %.3f%% | %.3f%% | %.3f%% | %.4f%% (%d) | %.1f%% |\n", map[bool]string{false: "as before", true: "three times in the cut domain"}[surged], remaining, hours, policyName(p), o.requests, percent(o.refused, o.requests), percent(o.falselyRefused, o.requests), percent(o.lost, o.requests), percent(o.coveredLost, o.covered), o.coveredLost, percent(int(o.stranded), int(o.remaining)))
				}
			}
		}
	}
}

func policyName(p policy) string {
	switch p := p.(type) {
	case adaptive:
		return fmt.Sprintf("follows demand, waits %d s", p.waitSeconds)
	case fixedShare:
		return "fixed share"
	default:
		return "equal split"
	}
}

func TestAdaptiveRefusesFewerThanEqualSplit(t *testing.T) {
	const seeds = 3
	s := scenario{percent: 10, hours: 8}
	s.policy = adaptive{waitSeconds: 12}
	adaptiveOutcome := sumOutcomes(t, s, seeds)
	s.policy = equalSplit{}
	splitOutcome := sumOutcomes(t, s, seeds)
	if 2*adaptiveOutcome.lost >= splitOutcome.lost {
		t.Errorf("false refusals: %d following demand, %d by an equal split", adaptiveOutcome.lost, splitOutcome.lost)
	}
	if percent(adaptiveOutcome.coveredLost, adaptiveOutcome.covered) >= 0.1 {
		t.Errorf("%d of %d requests within past demand were refused in vain", adaptiveOutcome.coveredLost, adaptiveOutcome.covered)
	}
}

func TestDemandConvergesToRate(t *testing.T) {
	var d Demand
	start := time.Unix(0, 0)
	for second := range 6 * 3600 {
		d.Observe(start.Add(time.Duration(second)*time.Second), 100)
	}
	got := d.PerHour(start.Add(6 * time.Hour))
	if got < 350_000 || got > 370_000 {
		t.Errorf("%d tokens an hour, want about 360000", got)
	}
}

// TestAccountAndEscrowsStayConsistent drives an account and its ledgers through any sequence of
// steps with lost, late and repeated messages.
func TestAccountAndEscrowsStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &escrowMachine{ledgers: make([]escrowLedger, 3)}
		t.Repeat(map[string]func(*rapid.T){
			"deposit":       m.deposit,
			"deposit there": m.depositAtLedger,
			"draw":          m.draw,
			"late grant":    m.deliverGrant,
			"reserve":       m.reserve,
			"settle":        m.settle,
			"recall":        m.returnIdle,
			"report":        m.report,
			"close":         m.close,
			"release":       m.release,
			"":              m.check,
		})
	})
}

type escrowLedger struct {
	escrow   Escrow
	reserved []int64
	// sentReports are reports on their way and granted answers on their way.
	sentReports []Counters
	granted     []int64
	closed      bool
}

type escrowMachine struct {
	account   Account
	ledgers   []escrowLedger
	deposited int64
	// released is true once an operator gave in-doubt tokens back, after
	// which a ledger that was wrongly closed may bill them again.
	released bool
}

func epochOf(i int) string {
	return fmt.Sprintf("epoch-%d", i)
}

func (m *escrowMachine) pickLedger(t *rapid.T) (int, *escrowLedger) {
	i := rapid.IntRange(0, len(m.ledgers)-1).Draw(t, "ledger")
	return i, &m.ledgers[i]
}

func anyTokens(t *rapid.T) int64 {
	return rapid.Int64Range(1, 1000).Draw(t, "tokens")
}

func (m *escrowMachine) deposit(t *rapid.T) {
	amount := anyTokens(t)
	m.account.Deposit(amount)
	m.deposited += amount
}

func (m *escrowMachine) depositAtLedger(t *rapid.T) {
	_, l := m.pickLedger(t)
	if l.closed {
		return
	}
	amount := anyTokens(t)
	l.escrow.Deposit(amount)
	m.deposited += amount
}

func (m *escrowMachine) draw(t *rapid.T) {
	i, l := m.pickLedger(t)
	request := DrawRequest{Need: anyTokens(t), Ahead: rapid.Bool().Draw(t, "ahead"), Demand: anyTokens(t)}
	granted, _ := m.account.DrawFor(epochOf(i), l.escrow.Granted, request)
	l.granted = append(l.granted, granted)
}

func (m *escrowMachine) deliverGrant(t *rapid.T) {
	_, l := m.pickLedger(t)
	if len(l.granted) > 0 {
		l.escrow.Granted = max(l.escrow.Granted, rapid.SampledFrom(l.granted).Draw(t, "granted"))
	}
}

func (m *escrowMachine) reserve(t *rapid.T) {
	_, l := m.pickLedger(t)
	amount := anyTokens(t)
	if l.escrow.Reserve(amount) {
		l.reserved = append(l.reserved, amount)
	}
}

func (m *escrowMachine) settle(t *rapid.T) {
	_, l := m.pickLedger(t)
	if len(l.reserved) > 0 {
		l.escrow.Settle(l.reserved[0], anyTokens(t))
		l.reserved = l.reserved[1:]
	}
}

func (m *escrowMachine) returnIdle(t *rapid.T) {
	i, l := m.pickLedger(t)
	l.escrow.Return(l.escrow.Idle(m.account.Target(epochOf(i))))
}

// report sends the counters and delivers any report sent so far, so that one
// may be lost, repeated or overtaken.
func (m *escrowMachine) report(t *rapid.T) {
	i, l := m.pickLedger(t)
	l.sentReports = append(l.sentReports, l.escrow.Counters())
	err := m.account.Report(epochOf(i), rapid.SampledFrom(l.sentReports).Draw(t, "report"))
	if err != nil {
		t.Fatalf("report: %v", err)
	}
}

func (m *escrowMachine) close(t *rapid.T) {
	i, l := m.pickLedger(t)
	if rapid.IntRange(0, 9).Draw(t, "closes") == 0 {
		l.closed = true
		m.account.Close(epochOf(i))
	}
}

func (m *escrowMachine) release(t *rapid.T) {
	i, _ := m.pickLedger(t)
	m.released = m.account.Release(epochOf(i)) > 0 || m.released
}

func (m *escrowMachine) check(t *rapid.T) {
	err := m.account.Check()
	if err != nil {
		t.Fatalf("account: %v", err)
	}
	for _, l := range m.ledgers {
		err = l.escrow.Check()
		if err != nil {
			t.Fatalf("escrow: %v", err)
		}
	}
	var billed int64
	for _, l := range m.ledgers {
		billed += l.escrow.Billed
	}
	if !m.released && billed > m.deposited {
		t.Fatalf("billed %d of %d", billed, m.deposited)
	}
}
