package quorum

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// catchUp is the time within which a member that starts empty must count.
const replacementLimit = 4 * time.Second

// votersOf returns the voters as a member knows them.
func (c *cluster) voterIDs(id string) []string {
	var voters []string
	for _, member := range c.find(id).node.Status().Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	slices.Sort(voters)
	return voters
}

// join asks at another member until id is let in.
func (c *cluster) addLearner(id, through string) {
	c.t.Helper()
	for range 50 {
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		err := c.find(through).node.AddLearner(ctx, memberFor(id))
		cancel()
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("member %s could not join", id)
}

func newVoterLimitCluster(t *testing.T) *cluster {
	c := newCluster(t, 0)
	c.voters = 3
	for _, id := range []string{"1", "2", "3"} {
		c.initial = append(c.initial, memberFor(id))
	}
	for _, member := range c.initial {
		c.startMember(member.ID)
	}
	return c
}

// TestLostFolderIsReplacedByANewMember loses each disk in turn; the member
// comes back at its address under a new id and counts within catchUp.
func TestLostFolderIsReplacedByANewMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVoterLimitCluster(t)
		defer c.close()
		var accepted []string
		voters := []string{"1", "2", "3"}
		for round, lost := range []string{"1", "2", "3"} {
			c.leader()
			command := fmt.Sprintf("before loss %d", round)
			c.mustPropose(voters[2], command)
			accepted = append(accepted, command)
			c.kill(lost, 0)
			replacement := lost + "-b"
			c.startMember(replacement)
			through := c.leader(replacement)
			started := time.Now()
			c.addLearner(replacement, through)
			for !slices.Contains(c.voterIDs(through), replacement) && time.Since(started) < replacementLimit {
				time.Sleep(50 * time.Millisecond)
			}
			voters = c.voterIDs(through)
			if len(voters) != 3 || !slices.Contains(voters, replacement) || slices.Contains(voters, lost) {
				t.Fatalf("voters %v %s after %s lost its disk", voters, time.Since(started), lost)
			}
		}
		c.checkAgreement(accepted)
	})
}

// TestLostMachineIsReplacedAtAnotherAddress kills a member for good and starts
// an empty one elsewhere.
func TestLostMachineIsReplacedAtAnotherAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVoterLimitCluster(t)
		defer c.close()
		lost := c.leader()
		c.mustPropose(lost, "kept")
		c.kill(lost, 0)
		c.startMember("4")
		through := c.leader("4")
		started := time.Now()
		c.addLearner("4", through)
		for len(c.voterIDs(through)) != 3 || !slices.Contains(c.voterIDs(through), "4") {
			if time.Since(started) > replacementLimit {
				t.Fatalf("voters %v", c.voterIDs(through))
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.checkAgreement([]string{"kept"})
	})
}

// TestSpareStaysLearnerAndStepsInAfterACut keeps a fourth member as a learner,
// lets it take the place of one that is cut off, and tells that one that it is
// retired when it comes back.
func TestSpareLearnerReplacesIsolatedVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVoterLimitCluster(t)
		defer c.close()
		leader := c.leader()
		c.startMember("4")
		c.addLearner("4", leader)
		time.Sleep(2 * time.Second)
		if voters := c.voterIDs(leader); len(voters) != 3 || slices.Contains(voters, "4") {
			t.Fatalf("voters %v with a spare", voters)
		}
		cut := c.follower()
		for cut == "4" {
			cut = c.follower()
		}
		c.isolate(cut, true)
		time.Sleep(replacementLimit)
		if voters := c.voterIDs(leader); !slices.Contains(voters, "4") || slices.Contains(voters, cut) {
			t.Fatalf("voters %v with %s cut off", voters, cut)
		}
		c.isolate(cut, false)
		err := c.find(leader).node.AddLearner(t.Context(), memberFor(cut))
		if !errors.Is(err, ErrRetired) {
			t.Errorf("the member that was replaced may come back: %v", err)
		}
	})
}

// TestNewFolderDoesNotAnswerForTheOldOne sends a vote that was meant for the
// earlier folder at an address.
func TestNewFolderDoesNotAnswerForTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVoterLimitCluster(t)
		defer c.close()
		c.leader()
		_, err := c.find("1").node.serveVote(t.Context(), &voteRequest{Term: 99, Candidate: "2", To: "1-old", LastIndex: 1 << 40, LastTerm: 98})
		if !errors.Is(err, errWrongRecipient) {
			t.Errorf("%v", err)
		}
	})
}
