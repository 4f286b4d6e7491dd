package operator

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/quorum"
)

// ErrInvalidDocument reports a document that was rejected and changed nothing.
var ErrInvalidDocument = errors.New("the configuration is not valid")

// voterWaitTimeout is how long after its start an instance rejects changes while the
// group lacks voters. A new group needs this time to gather them.
const voterWaitTimeout = 6 * time.Second

// Releases replaces and reads the configuration for operators that send whole
// documents and number these releases themselves. Its fields must not change while
// its methods are in use.
type Releases struct {
	// Group is the replicated state that this instance has applied.
	Group *group.Group
	// Node is this instance's member of the replicated log.
	Node *quorum.Node
	// Log is the logger of the process, not the replicated log.
	Log *log.Logger
	// Voters is the number of voters that the group should have before it
	// acknowledges a change.
	Voters int
	// Started is when this instance started.
	Started time.Time
}

// Replace validates and commits a document. source is the text that the operator
// sent. The error wraps ErrInvalidDocument, after which nothing has changed, or
// peer.ErrUnavailable, after which the document may or may not come into force.
func (r *Releases) Replace(ctx context.Context, document *config.Document, source []byte) error {
	command, err := group.NewReplacement(document, source, time.Now())
	if err != nil {
		r.Log.Info("configuration refused", "release", document.Release, "err", err.Error())
		return errors.Newf("%s: %w", err.Error(), ErrInvalidDocument)
	}
	if !mayAcknowledge(r.Node, r.Voters, r.Started) {
		return errors.Newf("the control group is still growing: %w", peer.ErrUnavailable)
	}
	result, err := group.Propose(ctx, r.Node, command)
	if err != nil {
		r.Log.Warn("configuration not confirmed", "release", document.Release, "err", err.Error())
		return err
	}
	if result.Code != group.CodeDone {
		return errors.Newf("%s: %w", result.Detail, ErrInvalidDocument)
	}
	r.Log.Info("configuration acknowledged", "release", document.Release, "in_force", result.Release, "version", result.Version)
	return nil
}

// mayAcknowledge reports whether the group has at least the given number of voters, or
// voterWaitTimeout has passed since the instance started.
func mayAcknowledge(node Member, wanted int, started time.Time) bool {
	voters := 0
	for _, member := range node.Status().Members {
		if !member.Learner {
			voters++
		}
	}
	return voters >= wanted || time.Since(started) > voterWaitTimeout
}

// Newest returns the newest committed document; its Release is 0 if there is none.
// The error wraps peer.ErrUnavailable if no majority confirms which one is newest.
func (r *Releases) Newest(ctx context.Context) (group.ReleasedDocument, error) {
	err := r.Node.Barrier(ctx)
	if err != nil {
		return group.ReleasedDocument{}, errors.Newf("read configuration: %w", err)
	}
	return r.Group.ReleasedDocument(), nil
}
