package gossip

import (
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
