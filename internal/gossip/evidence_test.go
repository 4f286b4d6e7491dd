package gossip

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/quarantine"
)

// The culprit is the segment under which servers crash; answers on bystander go on.
var (
	culprit   = []quarantine.Key{quarantine.Segment(9)}
	bystander = []quarantine.Key{quarantine.Segment(10)}
)

// waitForQuarantine waits until an entry has the culprit in quarantine.
func waitForQuarantine(t *testing.T, g *Gossiper) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for g.Evidence.Remaining(culprit, time.Now()) == 0 {
		if time.Now().After(deadline) {
			t.Fatalf("the segment isn't in quarantine within %s", waitLimit)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestEvidenceReachesAllEntries guards against evidence that stays at the entry that saw
// it, and against an entry that joins and doesn't learn what the others know.
func TestEvidenceReachesAllEntries(t *testing.T) {
	site := startSite(t, 5)
	for i, g := range site[:3] {
		for _, other := range site {
			other.Evidence.RecordProgress(bystander, time.Now())
		}
		g.Evidence.RecordCrash(fmt.Sprint("i-", i), []quarantine.Suspect{{Key: culprit[0], SentAt: time.Now()}}, time.Now())
		time.Sleep(60 * time.Millisecond)
	}
	for _, g := range site {
		waitForQuarantine(t, g)
	}
	late, _ := startGossiper(t, 0)
	var addresses []string
	for _, g := range append(site, late) {
		addresses = append(addresses, g.Address)
	}
	for _, g := range append(site, late) {
		g.SetPeers(addresses)
	}
	waitForQuarantine(t, late)
}

func TestEvidenceMessageRoundTrip(t *testing.T) {
	want := []quarantine.Evidence{
		quarantine.Crash{Key: quarantine.Segment(1 << 60), Server: 5, Age: 70 * time.Millisecond, SentAge: 90 * time.Millisecond},
		quarantine.Progress{Key: quarantine.Segment(2), Age: time.Second},
		quarantine.Verdict{Key: quarantine.Segment(3), Age: time.Hour},
		quarantine.Crash{Key: quarantine.Request(1<<64 - 1), Server: 6, SentAge: time.Second},
		quarantine.Progress{Key: quarantine.Request(2)},
		quarantine.Verdict{Key: quarantine.Request(2), Age: time.Minute},
	}
	got, err := decodeEvidence(appendEvidence(nil, want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v with error %v, want %+v", got, err, want)
	}
	for _, data := range [][]byte{nil, {formatEvidence}, {formatEvidence, 1}, append([]byte{formatEvidence}, make([]byte, evidenceLength)...)} {
		_, err := decodeEvidence(data)
		if err == nil {
			t.Errorf("the datagram %v was accepted", data)
		}
	}
}

// The largest message must fit into the receive buffer.
func TestEvidenceFitsIntoADatagram(t *testing.T) {
	if length := 1 + maxEvidence*evidenceLength; length > maxDatagramLength {
		t.Errorf("a message of %d bytes exceeds %d", length, maxDatagramLength)
	}
}

// TestEntriesSayWhetherTheyReachServers guards against an entry that is cut off from servers
// and does not learn which others are not, or takes one for such that has had no answer.
func TestEntriesSayWhetherTheyReachServers(t *testing.T) {
	site := startSite(t, 3)
	site[1].Fleet.Reached("app", time.Now())
	deadline := time.Now().Add(waitLimit)
	for len(site[0].Reaching("app", time.Now().Add(-time.Second))) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("no entry reaches the servers")
		}
		site[0].AskReach("app")
		time.Sleep(5 * time.Millisecond)
	}
	if got := site[0].Reaching("app", time.Now().Add(-time.Second)); len(got) != 1 || got[0] != site[1].Address {
		t.Errorf("%v reach the servers, want only %s", got, site[1].Address)
	}
	if got := site[0].Reaching("app", time.Now().Add(time.Second)); len(got) != 0 {
		t.Errorf("%v have had answers since, want none", got)
	}
}
