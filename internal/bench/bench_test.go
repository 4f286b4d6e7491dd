package bench

import (
	"testing"

	"github.com/cactusbay/cactusbay/internal/admit"
	"github.com/cactusbay/cactusbay/internal/route"
)

// seed makes every run in this file reproduce the same results.
const seed = 1

// lowestCost returns the policy in use.
func lowestCost() route.Policy { return route.LowestCost{} }

// runScenario runs the named scenario with the policy in use.
func runScenario(t *testing.T, name string) *Results {
	t.Helper()
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return Run(scenario, lowestCost, Capacity(seed), seed)
		}
	}
	t.Fatalf("no scenario has the name %s", name)
	return nil
}

// Runs of one seed must give the same results, or policies could not be
// compared.
func TestRunIsDeterministic(t *testing.T) {
	first := runScenario(t, "retry storm")
	second := runScenario(t, "retry storm")
	if first.dispatches != second.dispatches || first.Goodput() != second.Goodput() || first.FirstTokenP95() != second.FirstTokenP95() {
		t.Errorf("two runs with the same seed differ: %+v and %+v", first.classes, second.classes)
	}
}

// At 90% of the capacity, the policy in use must meet the latency targets.
func TestTargetsHoldAtNinetyPercent(t *testing.T) {
	res := runScenario(t, "90%")
	if res.FirstTokenP95() > firstTokenGoal || res.GapP95() > gapGoal {
		t.Errorf("95th percentiles: first token %v, gap %v, more than the goals", res.FirstTokenP95(), res.GapP95())
	}
}

// Under overload, batch requests must be refused so that interactive ones meet
// their deadlines, and more overload must not reduce the goodput.
func TestInteractiveWorkKeepsItsDeadlineUnderOverload(t *testing.T) {
	res := runScenario(t, "180%")
	if res.InTime(admit.Interactive) < 0.95 || res.Refused(admit.Batch) == 0 {
		t.Errorf("fraction of interactive requests in time %v, want at least 0.95; fraction of batch requests refused %v, want more than 0", res.InTime(admit.Interactive), res.Refused(admit.Batch))
	}
	if at150 := runScenario(t, "150%"); res.Goodput() < 0.95*at150.Goodput() {
		t.Errorf("goodput %v at 180%% load and %v at 150%%, want a loss of at most 5%%", res.Goodput(), at150.Goodput())
	}
}

// When the engines of a failure domain refuse everything or crash, unbounded
// retries would overload the other engines.
func TestRetriesAddLittleLoad(t *testing.T) {
	for _, name := range []string{"retry storm", "crashed domain"} {
		if res := runScenario(t, name); res.AddedLoad() > 0.1 {
			t.Errorf("%s: retries add %.1f%% of load, want at most 10%%", name, 100*res.AddedLoad())
		}
	}
}
