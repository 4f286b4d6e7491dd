package process

import (
	"fmt"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/quorum"
)

// statusLogger logs each change of the leader, term or membership that a member
// sees in its control group, and why the member is not part of the group.
type statusLogger struct {
	log      *log.Logger
	leader   string
	term     uint64
	members  string
	admitted bool
	failure  string
}

func (l *statusLogger) logChanges(status quorum.Status) {
	if status.Leader != l.leader || status.Term != l.term {
		l.log.Info("leader changed", "leader", status.Leader, "term", status.Term, "role", status.Role, "committed", status.Committed, "heard_ago_ms", int64(status.LeaderContactAge*1000))
		l.leader = status.Leader
		l.term = status.Term
	}
	members := ""
	for _, member := range status.Members {
		kind := "voter"
		if member.Learner {
			kind = "learner"
		}
		members += fmt.Sprintf("%s %s, ", member.ID, kind)
	}
	if members != l.members {
		l.log.Info("membership changed", "members", members, "committed", status.Committed)
		l.members = members
	}
	if status.Admitted != l.admitted || status.BootstrapFailure != l.failure {
		l.log.Info("admission changed", "member", status.ID, "admitted", status.Admitted, "founding", status.Founding, "bootstrap_failure", status.BootstrapFailure)
		l.admitted = status.Admitted
		l.failure = status.BootstrapFailure
	}
}
