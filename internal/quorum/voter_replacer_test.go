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

// replacementLimit is the time within which a member with an empty folder must
// become a voter.
const replacementLimit = 4 * time.Second

// voterIDs returns the sorted ids of the voters as member id knows them.
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

// addLearner adds member id through another member, with retries.
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
	c.t.Fatalf("member %s was not added after 50 attempts", id)
}

// newVoterLimitCluster starts a group of three members with at most three voters.
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

// TestLostFolderIsReplacedByANewMember guards against a group that loses its
// redundancy for good when disks are lost. Each member in turn loses its disk and
// returns at its address under a new id. The new member must replace the lost
// voter within replacementLimit.
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
				t.Fatalf("voters %v %s after the loss of disk %s, want three with the replacement", voters, time.Since(started), lost)
			}
		}
		c.checkAgreement(accepted)
	})
}

// TestLostMachineIsReplacedAtAnotherAddress kills the leader for good and adds a
// new member at another address, which must become a voter within
// replacementLimit.
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
				t.Fatalf("voters %v after the loss of a host, want three with member 4", c.voterIDs(through))
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.checkAgreement([]string{"kept"})
	})
}

// TestSpareLearnerReplacesIsolatedVoter adds a fourth member, which must remain a
// learner until a voter is isolated, and then replace that voter. The replaced
// member must be refused as retired when it returns.
func TestSpareLearnerReplacesIsolatedVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVoterLimitCluster(t)
		defer c.close()
		leader := c.leader()
		c.startMember("4")
		c.addLearner("4", leader)
		time.Sleep(2 * time.Second)
		if voters := c.voterIDs(leader); len(voters) != 3 || slices.Contains(voters, "4") {
			t.Fatalf("voters %v with a spare learner, want three without member 4", voters)
		}
		isolated := c.follower()
		for isolated == "4" {
			isolated = c.follower()
		}
		c.isolate(isolated, true)
		time.Sleep(replacementLimit)
		if voters := c.voterIDs(leader); !slices.Contains(voters, "4") || slices.Contains(voters, isolated) {
			t.Fatalf("voters %v with member %s isolated, want member 4 in its place", voters, isolated)
		}
		c.isolate(isolated, false)
		err := c.find(leader).node.AddLearner(t.Context(), memberFor(isolated))
		if !errors.Is(err, ErrRetired) {
			t.Errorf("adding the replaced member again: got %v, want ErrRetired", err)
		}
	})
}

// TestNewFolderDoesNotAnswerForTheOldOne guards against two votes by one address:
// a vote request for the member whose data folder was previously at the address
// must be refused.
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
