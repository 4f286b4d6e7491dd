package budget

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var sizing = flag.Bool("sizing", false, "print the sizing table over 20 seeds")

// TestMain fixes the rapid seed, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// sumOutcomes runs a scenario with each seed and adds up the outcomes.
func sumOutcomes(t *testing.T, s scenario, seeds int) outcome {
	var total outcome
	for seed := range seeds {
		s.seed = uint64(seed)
		result, err := runModel(s)
		if err != nil {
			t.Fatalf("%+v: %v", s, err)
		}
		if result.overspend != 0 {
			t.Fatalf("%+v: overspent by %d tokens, want 0", s, result.overspend)
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

// percent returns part as a percentage of whole, or of 1 if whole is 0.
func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(1, whole))
}

// TestSizingTable prints a table that compares the policies of the model. It checks
// only that no run overspends.
func TestSizingTable(t *testing.T) {
	if !*sizing {
		t.Skip("prints a table; run it with make bench-sizing")
	}
	const seeds = 20
	fmt.Println("| demand during the partition | budget remaining | partition | policy | requests | refused | refused while tokens remained | lost compared with a single pool | lost within the tokens held | stranded tokens |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, surged := range []bool{false, true} {
		for _, remaining := range []int{100, 50, 10} {
			for _, hours := range []int{1, 8} {
				for _, p := range []policy{adaptive{}, adaptive{waitSeconds: 2}, adaptive{waitSeconds: 12}, fixedShare{}, equalSplit{}} {
					o := sumOutcomes(t, scenario{policy: p, percent: remaining, hours: hours, surged: surged}, seeds)
					fmt.Printf("| %s | %d%% | %d h | %s | %d | %.3f%% | %.3f%% | %.3f%% | %.4f%% (%d) | %.1f%% |\n", map[bool]string{false: "as before", true: "three times in the isolated domain"}[surged], remaining, hours, policyName(p), o.requests, percent(o.refused, o.requests), percent(o.falselyRefused, o.requests), percent(o.lost, o.requests), percent(o.coveredLost, o.covered), o.coveredLost, percent(int(o.stranded), int(o.remaining)))
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

// TestAdaptiveRefusesFewerThanEqualSplit guards against grant sizes that strand
// tokens during a partition: grants that follow demand must lose less than half as
// many requests as an equal split of the budget.
func TestAdaptiveRefusesFewerThanEqualSplit(t *testing.T) {
	const seeds = 3
	s := scenario{percent: 10, hours: 8}
	s.policy = adaptive{waitSeconds: 12}
	adaptiveOutcome := sumOutcomes(t, s, seeds)
	s.policy = equalSplit{}
	splitOutcome := sumOutcomes(t, s, seeds)
	if 2*adaptiveOutcome.lost >= splitOutcome.lost {
		t.Errorf("%d requests lost with grants that follow demand and %d with an equal split, want less than half", adaptiveOutcome.lost, splitOutcome.lost)
	}
	if percent(adaptiveOutcome.coveredLost, adaptiveOutcome.covered) >= 0.1 {
		t.Errorf("%d of %d requests within the tokens held were lost, want less than 0.1%%", adaptiveOutcome.coveredLost, adaptiveOutcome.covered)
	}
}

// TestDemandConvergesToRate guards against a wrong scale of the estimated rate. It
// observes 100 tokens per second for six hours.
func TestDemandConvergesToRate(t *testing.T) {
	var d Demand
	start := time.Unix(0, 0)
	for second := range 6 * 3600 {
		d.Observe(start.Add(time.Duration(second)*time.Second), 100)
	}
	got := d.PerHour(start.Add(6 * time.Hour))
	if got < 350_000 || got > 370_000 {
		t.Errorf("got %d tokens per hour, want 350000 to 370000", got)
	}
}

// TestAccountAndEscrowsStayConsistent guards against tokens that are created or lost
// when messages are lost, late or repeated. It drives an account and its ledgers
// through random sequences of steps.
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

// escrowLedger is a ledger of an escrowMachine.
type escrowLedger struct {
	escrow   Escrow
	reserved []int64
	// sentReports and granted are all reports sent to the account and all grants
	// sent to the ledger. Any of them may be delivered at any time.
	sentReports []Counters
	granted     []int64
	closed      bool
}

// escrowMachine is the state of TestAccountAndEscrowsStayConsistent; its methods are
// the steps of the test.
type escrowMachine struct {
	account   Account
	ledgers   []escrowLedger
	deposited int64
	// released reports whether in-doubt tokens were moved back to the pool. A
	// ledger that still runs after its epoch was closed may then bill them again.
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
	request := DrawRequest{Need: anyTokens(t), UpToTarget: rapid.Bool().Draw(t, "ahead"), Demand: anyTokens(t)}
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

// report sends the counters and delivers any report sent so far, so that reports
// may be lost, repeated or reordered.
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
		t.Fatalf("billed %d tokens, want at most the %d deposited", billed, m.deposited)
	}
}
