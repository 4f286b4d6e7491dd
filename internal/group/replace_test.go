package group

import (
	"fmt"
	"testing"

	"github.com/cactusbay/cactusbay/internal/budget"
)

func replacement(release, budgetOf int) ReplaceConfiguration {
	return ReplaceConfiguration{
		Document: fmt.Appendf(nil, `{"release":%d,"workspaces":{"north":{"budget":%d}}}`, release, budgetOf),
		Source:   fmt.Appendf(nil, "sent %d with %d", release, budgetOf),
	}
}

// TestHighestReleaseIsInForce sends releases in any order, again and with
// other content.
func TestHighestReleaseIsInForce(t *testing.T) {
	s := newState()
	steps := []struct {
		command ReplaceConfiguration
		code    Code
		source  string
		version uint64
	}{
		{replacement(4, 400), CodeDone, "sent 4 with 400", 1},
		{replacement(4, 400), CodeDone, "sent 4 with 400", 1},
		{replacement(4, 999), CodeDone, "sent 4 with 400", 1},
		{replacement(2, 200), CodeDone, "sent 4 with 400", 1},
		{replacement(9, 900), CodeDone, "sent 9 with 900", 2},
		{ReplaceConfiguration{Document: []byte(`{"release":12,"works":7}`)}, CodeInvalid, "sent 9 with 900", 2},
		{ReplaceConfiguration{Document: []byte(`{"release":12,`)}, CodeInvalid, "sent 9 with 900", 2},
		{replacement(7, 700), CodeDone, "sent 9 with 900", 2},
	}
	for i, step := range steps {
		result := s.apply(step.command, nil)
		if result.Code != step.code || string(s.Configuration.Source) != step.source || s.Configuration.Number != step.version {
			t.Errorf("step %d: %+v, source %q, version %d", i, result, s.Configuration.Source, s.Configuration.Number)
		}
	}
	if total := s.Accounts["north"].Total; total != 900 {
		t.Errorf("budget %d", total)
	}
}

func TestReplacedDocumentsLeadToEachOtherByPatches(t *testing.T) {
	s := newState()
	for release := 1; release <= 5; release++ {
		s.apply(replacement(release*3, release), nil)
	}
	changes, complete := s.Configuration.changes(2, 10)
	if !complete || len(changes) != 3 {
		t.Fatalf("%d changes, complete %v", len(changes), complete)
	}
	version, err := s.Configuration.version(4)
	if err != nil || string(version.Document) != `{"release":12,"workspaces":{"north":{"budget":4}}}` {
		t.Errorf("%s, %v", version.Document, err)
	}
}

func TestExchangeOpensClosesAndDraws(t *testing.T) {
	s := newState()
	s.apply(replacement(1, 1_000_000), nil)
	exchange := func(epoch string, item ExchangeItem) Result {
		return s.apply(Exchange{Epoch: epoch, Instance: "entry", Workspaces: map[string]ExchangeItem{"north": item, "unknown": {Need: 5}}}, nil)
	}
	first := exchange("start-1", ExchangeItem{Need: 5000})
	granted := first.Shares["north"].Granted
	if first.Code != CodeDone || granted < 5000 || first.Shares["unknown"] != (Share{}) {
		t.Fatalf("%+v", first)
	}
	again := exchange("start-1", ExchangeItem{Need: 5000})
	if again.Shares["north"].Granted != granted {
		t.Errorf("a resent exchange drew again: %d after %d", again.Shares["north"].Granted, granted)
	}
	exchange("start-1", ExchangeItem{Known: granted, Counters: budget.Counters{Billed: 300}})
	exchange("start-2", ExchangeItem{Need: 10})
	if !s.Epochs["start-1"].Closed {
		t.Error("the epoch of an earlier start is still open")
	}
	account := s.Accounts["north"]
	if account.InDoubt() != granted-300 {
		t.Errorf("%d tokens in doubt of %d granted and 300 billed", account.InDoubt(), granted)
	}
	if late := exchange("start-1", ExchangeItem{Known: granted, Need: 10}); late.Code != CodeNotFound {
		t.Errorf("a closed epoch drew: %+v", late)
	}
}
