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

// ErrInvalidDocument reports a document that may not come into force.
var ErrInvalidDocument = errors.New("the configuration is not valid")

// foundingWait is how long a group that has just begun may lack voters before
// changes are taken all the same.
const foundingWait = 6 * time.Second

// Releases takes whole documents from operators who number them themselves,
// and gives the newest one back.
type Releases struct {
	Group *group.Group
	Node  *quorum.Node
	Log   *log.Logger
	// Voters is how many members the group should have before a change is
	// acknowledged.
	Voters int
	// Started is when the instance started.
	Started time.Time
}

// Replace commits a document. Its errors wrap ErrInvalidDocument or
// peer.ErrUnavailable; after the latter the document may be in force.
func (r *Releases) Replace(ctx context.Context, document *config.Document, source []byte) error {
	command, err := group.NewReplacement(document, source, time.Now())
	if err != nil {
		r.Log.Info("configuration refused", "release", document.Release, "err", err.Error())
		return errors.Newf("%s: %w", err.Error(), ErrInvalidDocument)
	}
	if !r.mayAcknowledge() {
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

// mayAcknowledge tells whether the group has as many voters as it should, or
// has had time enough to find them.
func (r *Releases) mayAcknowledge() bool {
	voters := 0
	for _, member := range r.Node.Status().Members {
		if !member.Learner {
			voters++
		}
	}
	return voters >= r.Voters || time.Since(r.Started) > foundingWait
}

// Newest returns the newest document. Its errors wrap peer.ErrUnavailable when
// it is not certain which one that is.
func (r *Releases) Newest(ctx context.Context) (group.ReleasedDocument, error) {
	err := r.Node.Barrier(ctx)
	if err != nil {
		return group.ReleasedDocument{}, errors.Newf("read configuration: %w", err)
	}
	return r.Group.ReleasedDocument(), nil
}
