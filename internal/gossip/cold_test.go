package gossip

import (
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
)

func TestColdMessageRoundTrip(t *testing.T) {
	want := coldMessage{server: "i-7f", coldFor: 2700 * time.Millisecond}
	got, err := decodeCold(want.append(nil))
	if err != nil || got != want {
		t.Errorf("decoded %+v with error %v, want %+v", got, err, want)
	}
	for _, data := range [][]byte{{formatCold}, make([]byte, minColdLength+1), {formatCold, 0, 0, 0, 1}} {
		_, err := decodeCold(data)
		if err == nil {
			t.Errorf("the datagram %v was accepted", data)
		}
	}
}

// TestPeersLearnThatAServerIsCold guards against a statement that reaches no other entry, and
// against a peer that makes a server count as cold for as long as it likes.
func TestPeersLearnThatAServerIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gossiper{Fleet: &place.Fleet{}}
		g.Fleet.SetUpstreams(map[string]place.UpstreamPolicy{"pool": {ColdRequestsPerSecond: 14}})
		g.Fleet.Update([]instances.Instance{{ID: "s", Upstream: "pool", Address: "a", Slots: 1}}, time.Now())
		err := g.handleCold(coldMessage{server: "s", coldFor: time.Hour}.append(nil))
		if err != nil || g.Fleet.Counts(time.Now()).Cold != 1 {
			t.Errorf("error %v, want the server to be cold", err)
		}
		time.Sleep(maxRemoteCold)
		if g.Fleet.Counts(time.Now()).Cold != 0 {
			t.Errorf("the server is still cold after %s", maxRemoteCold)
		}
	})
}

// TestEntryIsLearningUntilOthersMayBeListed guards against an entry that sends cold servers
// requests before it can know how many others do.
func TestEntryIsLearningUntilOthersMayBeListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gossiper{Address: "10.0.0.1:7"}
		if !g.IsLearning() {
			t.Error("an entry that knows no list is not learning")
		}
		g.SetPeers(nil)
		time.Sleep(learningTime)
		if g.IsLearning() {
			t.Error("the entry is still learning")
		}
	})
}

// TestOnlyEntriesWithAShareAreAskedToProbe guards against a question to all entries, each of
// which would then send a server that has just started a probe.
func TestOnlyEntriesWithAShareAreAskedToProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitSite(70, 1, place.Limit{})
		time.Sleep(learningTime)
		holders := 0
		asked := s.entries[0].firstEntries(limitedServer, 4)
		for _, g := range s.entries {
			if g.LimitShare(limitedServer, 4) == 0 {
				continue
			}
			holders++
			if g != s.entries[0] && !slices.Contains(asked, netip.MustParseAddrPort(g.Address)) {
				t.Errorf("entry %s has a share and is not asked", g.Address)
			}
		}
		if holders != 4 || len(asked) != 4 {
			t.Errorf("%d entries have a share and %d are asked, want 4", holders, len(asked))
		}
	})
}

// TestProbeRequestMakesAnEntryProbe checks the datagram that asks for a probe, and that a malformed
// one is dropped.
func TestProbeRequestMakesAnEntryProbe(t *testing.T) {
	g := &Gossiper{Fleet: &place.Fleet{}}
	g.Fleet.SetUpstreams(map[string]place.UpstreamPolicy{"pool": {ColdStart: time.Second, ColdRequestsPerSecond: 14}})
	g.Fleet.Update([]instances.Instance{{ID: "s", Upstream: "pool", Address: "a", Slots: 1, ColdStated: true}}, time.Now())
	if g.handleProbeRequest([]byte{formatProbeRequest}) == nil {
		t.Error("a datagram without a server was accepted")
	}
	err := g.handleProbeRequest(probeRequest{server: "s"}.append(nil))
	if err != nil || len(g.Fleet.StartColdProbes(time.Now())) != 1 {
		t.Errorf("error %v, want one probe", err)
	}
}
