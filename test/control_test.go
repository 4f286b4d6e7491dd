package test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/pkg/operator"
)

// catchUpTime is longer than a new control instance takes to replicate the log
// and become a voter.
const catchUpTime = 10 * time.Second

// operatorAt returns an operator client for the control instance of a domain.
func (s *site) operatorAt(domain string) *operator.Client {
	return &operator.Client{
		Address: s.settings["control-"+domain].OperatorAddress,
		Key:     siteOperatorKey,
		HTTP:    transport.Client(s.network.Host("operator")),
	}
}

// setControlIsolated cuts the links between a domain's control instance and the
// other control instances, or restores them.
func (s *site) setControlIsolated(domain string, isolated bool) {
	for _, other := range s.domains {
		for _, pair := range [][2]string{{domain, other}, {other, domain}} {
			if pair[0] == pair[1] {
				continue
			}
			if isolated {
				s.network.Cut("control-"+pair[0], "control-"+pair[1])
			} else {
				s.network.Heal("control-"+pair[0], "control-"+pair[1])
			}
		}
	}
}

// TestIsolatedControlAnswersOnlyLocalReads guards against stale reads: a control
// instance that can't reach a quorum must refuse linearizable reads with 503 and
// still answer local reads.
func TestIsolatedControlAnswersOnlyLocalReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		client := s.operatorAt("a")
		defer client.HTTP.CloseIdleConnections()
		_, err := client.Configuration(t.Context(), 0)
		if err != nil {
			t.Fatalf("read while connected: %v", err)
		}
		s.setControlIsolated("a", true)
		defer s.setControlIsolated("a", false)
		_, err = client.Configuration(t.Context(), 0)
		var problem *operator.Problem
		if !errors.As(err, &problem) || problem.Status != http.StatusServiceUnavailable {
			t.Errorf("linearizable read while isolated: got %v, want status 503", err)
		}
		client.Local = true
		_, err = client.Budget(t.Context(), siteWorkspace)
		if err != nil {
			t.Errorf("local read while isolated: got %v, want no error", err)
		}
	})
}

// TestLostControlIsReplacedUnderANewID guards against a control group that can't
// recover from a lost disk: the operator removes the member and adds one with a
// new id, which must become a voter and receive the replicated state.
func TestLostControlIsReplacedUnderANewID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		s.controls["a"].Close()
		s.disks["control-a"].Erase()
		client := s.operatorAt("b")
		defer client.HTTP.CloseIdleConnections()
		s.retryWhileUnavailable(func() error {
			_, err := client.RemoveControlMember(t.Context(), "control-a")
			return err
		})
		s.startReplacement("a", "d")
		s.retryWhileUnavailable(func() error {
			_, err := client.AddControlMember(t.Context(), "control-d", address(3, 9000))
			return err
		})
		time.Sleep(catchUpTime)
		group, err := client.ControlGroup(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, member := range group.Members {
			if member.Learner || member.ID == "control-a" {
				t.Errorf("%+v", group)
			}
		}
		account, found := s.controls["a"].Group.Account(siteWorkspace)
		if !found || account.Deposited != 100_000 {
			t.Errorf("the new member has account %+v, want 100000 tokens deposited", account)
		}
	})
}

// retryWhileUnavailable repeats change while it fails with the code "unavailable",
// as it does during an election. Any other error, or 20 failures in a row, fails the
// test.
func (s *site) retryWhileUnavailable(change func() error) {
	const attempts = 20
	var err error
	for range attempts {
		err = change()
		var problem *operator.Problem
		if err == nil {
			return
		}
		if !errors.As(err, &problem) || problem.Code != "unavailable" {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.t.Fatal(err)
}

// startReplacement starts a control instance with a new id and an empty disk in
// a domain whose control instance was lost.
func (s *site) startReplacement(domain, name string) {
	old := s.settings["control-"+domain]
	id := "control-" + name
	replacement := *old
	replacement.InstanceID = id
	replacement.PeerAddress = address(3, 9000)
	replacement.OperatorAddress = address(3, 9001)
	s.settings[id] = &replacement
	s.disks[id] = &fake.Disk{}
	control, err := process.StartControl(&replacement, s.environment(id))
	if err != nil {
		s.t.Fatal(err)
	}
	s.controls[domain] = control
}
