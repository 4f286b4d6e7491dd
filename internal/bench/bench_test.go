package bench

import (
	"testing"

	"github.com/cactusbay/cactusbay/internal/admit"
	"github.com/cactusbay/cactusbay/internal/route"
)

const seed = 1

func balanced() route.Policy { return route.Balanced{} }

// runScenario runs the scenario called name with the policy in use.
func runScenario(t *testing.T, name string) *Results {
	t.Helper()
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return Run(scenario, balanced, Capacity(seed), seed)
		}
	}
	t.Fatalf("no scenario is named %s", name)
	return nil
}

func TestRunIsDeterministic(t *testing.T) {
	first := runScenario(t, "retry storm")
	second := runScenario(t, "retry storm")
	if first.dispatches != second.dispatches || first.Goodput() != second.Goodput() || first.FirstTokenP95() != second.FirstTokenP95() {
		t.Errorf("two runs of one seed differ: %+v and %+v", first.classes, second.classes)
	}
}

func TestTargetsHoldAtNinetyPercent(t *testing.T) {
	res := runScenario(t, "90%")
	if res.FirstTokenP95() > firstTokenGoal || res.GapP95() > gapGoal {
		t.Errorf("first token %v, gap %v", res.FirstTokenP95(), res.GapP95())
	}
}

func TestInteractiveWorkKeepsItsDeadlineUnderOverload(t *testing.T) {
	res := runScenario(t, "180%")
	if res.InTime(admit.Interactive) < 0.95 || res.Refused(admit.Batch) == 0 {
		t.Errorf("interactive in time %v, drafts refused %v", res.InTime(admit.Interactive), res.Refused(admit.Batch))
	}
	if at150 := runScenario(t, "150%"); res.Goodput() < 0.95*at150.Goodput() {
		t.Errorf("goodput %v, at 150%% %v", res.Goodput(), at150.Goodput())
	}
}

func TestRetriesAddLittleLoad(t *testing.T) {
	for _, name := range []string{"retry storm", "crashed domain"} {
		if res := runScenario(t, name); res.AddedLoad() > 0.1 {
			t.Errorf("%s: retries add %.1f%%", name, 100*res.AddedLoad())
		}
	}
}
