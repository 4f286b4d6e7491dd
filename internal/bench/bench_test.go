package bench

import (
	"testing"

	"github.com/cactusbay/cactusbay/internal/admit"
	"github.com/cactusbay/cactusbay/internal/route"
)

const seed = 1

func balanced() route.Policy { return route.Balanced{} }

// play runs the scenario called name with the policy in use.
func play(t *testing.T, name string) *Figures {
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
	first := play(t, "retry storm")
	second := play(t, "retry storm")
	if first.dispatches != second.dispatches || first.Goodput() != second.Goodput() || first.FirstToken95() != second.FirstToken95() {
		t.Errorf("two runs of one seed differ: %+v and %+v", first.classes, second.classes)
	}
}

func TestTargetsHoldAtNinetyPercent(t *testing.T) {
	f := play(t, "90%")
	if f.FirstToken95() > firstTokenGoal || f.Gap95() > gapGoal {
		t.Errorf("first token %v, gap %v", f.FirstToken95(), f.Gap95())
	}
}

func TestInteractiveWorkKeepsItsDeadlineUnderOverload(t *testing.T) {
	f := play(t, "180%")
	if f.InTime(admit.Interactive) < 0.95 || f.Refused(admit.Batch) == 0 {
		t.Errorf("interactive in time %v, drafts refused %v", f.InTime(admit.Interactive), f.Refused(admit.Batch))
	}
	if full := play(t, "150%"); f.Goodput() < 0.95*full.Goodput() {
		t.Errorf("goodput %v, at 150%% %v", f.Goodput(), full.Goodput())
	}
}

func TestRetriesAddLittleLoad(t *testing.T) {
	for _, name := range []string{"retry storm", "crashed domain"} {
		if f := play(t, name); f.AddedLoad() > 0.1 {
			t.Errorf("%s: retries add %.1f%%", name, 100*f.AddedLoad())
		}
	}
}
