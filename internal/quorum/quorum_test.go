package quorum

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
)

// inBubble runs a test on a new cluster under virtual time.
func runWithCluster(t *testing.T, size int, run func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, size)
		defer c.close()
		c.leader()
		run(t, c)
	})
}

func (c *cluster) proposeMany(id string, count int) []string {
	c.t.Helper()
	var accepted []string
	for i := range count {
		command := fmt.Sprint("from-", id, "-", i)
		c.mustPropose(id, command)
		accepted = append(accepted, command)
	}
	return accepted
}

func TestCommitsAtEveryMember(t *testing.T) {
	runWithCluster(t, 3, func(_ *testing.T, c *cluster) {
		accepted := c.proposeMany("1", 10)
		accepted = append(accepted, c.proposeMany("2", 10)...)
		accepted = append(accepted, c.proposeMany("3", 10)...)
		c.checkAgreement(accepted)
	})
}

func TestTornTailIsCut(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, c *cluster) {
		accepted := c.proposeMany("1", 3)
		c.kill("1", 0)
		file, err := c.disks["1"].Append(segmentName(0))
		if err != nil {
			t.Fatal(err)
		}
		whole := journal.AppendRecord(nil, []byte("a record that was not synced"))
		_, err = file.Write(whole[:len(whole)-4])
		if err != nil {
			t.Fatal(err)
		}
		c.startMember("1")
		c.leader()
		c.checkAgreement(accepted)
	})
}

func TestDamagedRecordPreventsOpen(t *testing.T) {
	runWithCluster(t, 1, func(t *testing.T, c *cluster) {
		c.proposeMany("1", 3)
		c.kill("1", 0)
		data, err := c.disks["1"].ReadFile(segmentName(0))
		if err != nil {
			t.Fatal(err)
		}
		data[len(data)/2] ^= 1
		err = c.disks["1"].WriteFile(segmentName(0), data)
		if err != nil {
			t.Fatal(err)
		}
		_, err = c.openMember("1")
		if !errors.Is(err, journal.ErrDamaged) {
			t.Errorf("open returned %v", err)
		}
	})
}

func TestIsolatedLeaderAnswersNoRead(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		old := c.leader()
		c.isolate(old, true)
		// The first barrier falls into the time in which the old leader still
		// believes that it leads.
		for range 3 {
			err := c.barrier(old)
			if !errors.Is(err, peer.ErrUnavailable) {
				t.Errorf("isolated leader's barrier: %v", err)
			}
		}
		next := c.leader(old)
		accepted := c.proposeMany(next, 2)
		if c.propose(old, "lost") == nil {
			t.Error("the isolated leader accepted a command")
		}
		if role := c.find(old).node.Status().Role; role == string(roleLeader) {
			t.Error("the isolated leader did not step down")
		}
		c.isolate(old, false)
		c.leader()
		c.checkAgreement(accepted)
	})
}

func TestRejoiningMemberKeepsTermAndLeader(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		isolated := c.follower()
		before := c.find(c.leader()).node.Status()
		c.isolate(isolated, true)
		time.Sleep(time.Hour)
		c.isolate(isolated, false)
		time.Sleep(10 * time.Second)
		after := c.find(c.leader()).node.Status()
		if after.Term != before.Term || after.Leader != before.Leader {
			t.Errorf("before %+v, after %+v", before, after)
		}
	})
}

func TestMemberCutFromLeaderKeepsTermAndLeader(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		leader := c.leader()
		isolated := c.follower()
		before := c.find(leader).node.Status()
		c.cut(leader, isolated, true)
		time.Sleep(time.Minute)
		after := c.find(leader).node.Status()
		c.cut(leader, isolated, false)
		if after.Term != before.Term || after.Role != before.Role {
			t.Errorf("before %+v, after %+v", before, after)
		}
	})
}

func TestNoAcknowledgementBeforeSync(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		leader := c.leader()
		for _, id := range c.ids() {
			if id != leader {
				c.disks[id].setDelay(time.Minute)
			}
		}
		if c.propose(leader, "early") == nil {
			t.Error("a command was accepted that no follower had synced")
		}
	})
}

func TestVoteIsSyncedBeforeResponse(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		old := c.leader()
		for id, folder := range c.disks {
			if id != old {
				folder.setDelay(time.Minute)
			}
		}
		c.kill(old, 0)
		time.Sleep(30 * time.Second)
		for _, id := range c.ids() {
			if c.find(id).node.Status().Role == string(roleLeader) {
				t.Errorf("member %s leads by a vote that was not synced", id)
			}
		}
	})
}

// TestEntryOfAnOlderTermIsNotCommittedAlone lets a majority hold an entry of
// term 2 while the leader of term 3 has no entry of its own there yet: a
// member with a newer entry could still replace the old one.
func TestEntryOfOlderTermIsNotCommittedByCount(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		n := c.find(c.leader()).node
		n.mu.Lock()
		defer n.mu.Unlock()
		before := n.commit
		n.log.appendEntry(entry{Index: n.log.last() + 1, Term: n.term})
		n.term++
		for _, p := range n.leadership.replicators {
			p.match = n.log.last()
		}
		n.leadership.synced = n.log.last()
		n.advanceCommit()
		if n.commit != before {
			t.Errorf("commit %d, want %d", n.commit, before)
		}
	})
}

func TestLaggingLearnerIsNotPromoted(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		c.proposeMany(c.leader(), 3)
		n := c.find(c.leader()).node
		n.mu.Lock()
		defer n.mu.Unlock()
		before := n.configurationIndex
		learner := memberFor("4")
		learner.Learner = true
		n.promoteIfCaughtUp(&replicator{node: n, member: learner, match: n.commit - 1})
		if n.configurationIndex != before {
			t.Error("a learner that lags was made a voter")
		}
	})
}

func TestLeaderIsReplacedAfterOneWayCut(t *testing.T) {
	runWithCluster(t, 3, func(_ *testing.T, c *cluster) {
		old := c.leader()
		for _, id := range c.ids() {
			c.cut(id, old, true)
		}
		next := c.leader(old)
		accepted := c.proposeMany(next, 1)
		for _, id := range c.ids() {
			c.cut(id, old, false)
		}
		c.leader()
		c.checkAgreement(accepted)
	})
}

func TestRestartAloneAppliesWhatWasCommitted(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		accepted := c.proposeMany(c.leader(), 500)
		time.Sleep(maxElectionTimeout)
		id := c.follower()
		c.kill(id, 0)
		c.isolate(id, true)
		c.startMember(id)
		synctest.Wait()
		if !slices.Equal(c.find(id).machine.applied(), accepted) {
			t.Errorf("applied %d of %d commands", len(c.find(id).machine.applied()), len(accepted))
		}
	})
}

func TestRestartOfTheWholeGroup(t *testing.T) {
	runWithCluster(t, 3, func(_ *testing.T, c *cluster) {
		accepted := c.proposeMany("1", 500)
		for _, id := range c.ids() {
			c.kill(id, 7)
		}
		for _, member := range c.initial {
			c.startMember(member.ID)
		}
		c.leader()
		c.checkAgreement(accepted)
	})
}

func TestEmptyFolderDoesNotVoteUnderKnownID(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		accepted := c.proposeMany(c.leader(), 5)
		lost := c.follower()
		c.kill(lost, 0)
		c.disks[lost].Erase()
		c.startMember(lost)
		time.Sleep(10 * time.Second)
		c.kill(c.leader(lost), 0)
		time.Sleep(time.Minute)
		for _, id := range c.ids() {
			status := c.find(id).node.Status()
			if status.Role == string(roleLeader) || status.Admitted != (id != lost) {
				t.Errorf("%+v", status)
			}
		}
		for _, member := range c.initial {
			if c.find(member.ID) == nil {
				c.startMember(member.ID)
			}
		}
		c.kill(lost, 0)
		c.leader()
		c.checkAgreement(accepted)
	})
}

func TestLostDiskIsReplacedUnderNewID(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		accepted := c.proposeMany(c.leader(), 50)
		r := &randomRun{cluster: c, members: []string{"1", "2", "3"}, lastID: 3}
		r.loseDisk(0)
		r.kill(r.members[1], 0)
		r.disks[r.members[1]].Erase()
		c.leader()
		c.checkAgreement(accepted)
		err := c.find("4").node.AddMember(t.Context(), "1", memberFor("1").Address)
		if !errors.Is(err, peer.ErrInvalid) {
			t.Errorf("a retired id was added again: %v", err)
		}
	})
}

func TestLeaderTransfersLeadershipOnClose(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		old := c.leader()
		term := c.find(old).node.Status().Term
		before := time.Now()
		c.find(old).node.Close()
		c.kill(old, 0)
		next := c.leader()
		if took := time.Since(before); took > minElectionTimeout/2 {
			t.Errorf("the next leader stood after %v", took)
		}
		if got := c.find(next).node.Status().Term; got != term+1 {
			t.Errorf("term %d after %d", got, term)
		}
	})
}

func TestNoAcknowledgementOnFailingDisk(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		accepted := c.proposeMany(c.leader(), 3)
		old := c.leader()
		c.disks[old].SetFailing(true)
		err := c.propose(old, "unclear")
		if !errors.Is(err, peer.ErrUnavailable) {
			t.Errorf("propose on a failing disk: %v", err)
		}
		next := c.leader(old)
		accepted = append(accepted, c.proposeMany(next, 3)...)
		c.disks[old].SetFailing(false)
		c.kill(old, 0)
		c.startMember(old)
		c.leader()
		c.checkAgreement(accepted)
	})
}

func TestChunkedSnapshotReachesLaggingMember(t *testing.T) {
	runWithCluster(t, 3, func(_ *testing.T, c *cluster) {
		lagging := c.follower()
		c.kill(lagging, 0)
		var accepted []string
		for i := range 2 * c.snapshots {
			command := fmt.Sprint(i, string(bytes.Repeat([]byte("x"), 100_000)))
			c.mustPropose(c.leader(), command)
			accepted = append(accepted, command)
		}
		c.startMember(lagging)
		c.leader()
		c.checkAgreement(accepted)
	})
}

// silentOnce lets the first call of a procedure go unanswered, as over a
// connection that something in between has lost track of.
type hangFirstCall struct {
	next      http.RoundTripper
	procedure string
	mu        sync.Mutex
	hung      bool
}

func (s *hangFirstCall) RoundTrip(request *http.Request) (*http.Response, error) {
	s.mu.Lock()
	first := !s.hung && request.URL.Path == s.procedure
	s.hung = s.hung || first
	s.mu.Unlock()
	if first {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return s.next.RoundTrip(request)
}

func TestReadSurvivesASilentConnection(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		accepted := c.proposeMany(c.leader(), 1)
		id := c.follower()
		client := c.find(id).client
		client.Transport = &hangFirstCall{next: client.Transport, procedure: readProcedure}
		err := c.barrier(id)
		if err != nil {
			t.Errorf("barrier after a silent connection: %v", err)
		}
		c.checkAgreement(accepted)
	})
}

// TestOldSnapshotIsNotSentAgainAtOnce sends a snapshot that ends before the
// log begins, as while a newer one is being written: the member must wait.
func TestStaleSnapshotIsNotResentImmediately(t *testing.T) {
	runWithCluster(t, 3, func(t *testing.T, c *cluster) {
		leader := c.leader()
		c.proposeMany(leader, 3*c.snapshots)
		folder := c.disks[leader]
		old, err := folder.ReadFile(snapshotFile)
		if err != nil {
			t.Fatal(err)
		}
		c.proposeMany(leader, 6*c.snapshots)
		err = folder.WriteFile(snapshotFile, old)
		if err != nil {
			t.Fatal(err)
		}
		node := c.find(leader).node
		lagging := memberFor(c.follower())
		node.mu.Lock()
		p := &replicator{node: node, leadership: node.leadership, member: lagging, ctx: t.Context(), next: 1}
		node.mu.Unlock()
		more, err := p.send()
		if more || !errors.Is(err, errStaleSnapshot) {
			t.Errorf("more %t, %v; the same snapshot is sent again without a pause", more, err)
		}
	})
}
