package place

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

// TestPathIsJudgedByTheServersThatAreTried guards against an entry that refuses its requests
// for seconds in place of passing them to another one: the only server that it may send
// requests to is out of reach, and it does not try the cold ones.
func TestPathIsJudgedByTheServersThatAreTried(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		perSecond, share float64
		broken           bool
	}{
		"cold servers that the entry does not try": {perSecond: 14, broken: true},
		"cold servers of which it has a share":     {perSecond: 14, share: 0.25},
		"no bound":                                 {},
	} {
		f := &Fleet{LimitShare: func(string, int) float64 { return c.share }}
		f.SetUpstreams(map[string]UpstreamPolicy{"pool": {ColdStart: 3 * time.Second, ColdRequestsPerSecond: c.perSecond}})
		f.Update([]instances.Instance{
			{ID: "s0", Upstream: "pool", Address: "a", FailureDomain: "d", Slots: 100, ColdStated: true},
			{ID: "s1", Upstream: "pool", Address: "b", FailureDomain: "d", Slots: 100, Cold: true, ColdStated: true},
			{ID: "s2", Upstream: "pool", Address: "c", FailureDomain: "d", Slots: 100, Cold: true, ColdStated: true},
		}, start.Add(-time.Minute))
		failed := placeOne(t, f, start)
		failed.Done(Unreachable{}, start)
		broken := f.BrokenPaths(start.Add(100 * time.Millisecond))
		if len(broken) > 0 != c.broken || c.broken && (!broken[0].Lost || !broken[0].Since.Equal(start)) {
			t.Errorf("%s: broken paths %+v, want one that is lost: %t", name, broken, c.broken)
		}
		if f.Reached("pool", start.Add(200*time.Millisecond)); len(f.BrokenPaths(start.Add(200*time.Millisecond))) > 0 {
			t.Errorf("%s: the path counts as broken although a server has answered", name)
		}
	}
}
