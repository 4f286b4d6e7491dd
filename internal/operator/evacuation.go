package operator

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/quorum"
)

var (
	// ErrUnknownFailureDomain reports an order for a failure domain that the site does not
	// have. It changed nothing.
	ErrUnknownFailureDomain = errors.New("no failure domain of this site has that name")
	// ErrNoConfiguration reports an order before the first configuration. It changed
	// nothing.
	ErrNoConfiguration = errors.New("there is no configuration yet")
)

// Evacuations begins and ends the evacuations of failure domains for operators. Its fields
// must not change while its methods are in use.
type Evacuations struct {
	// Node is this instance's member of the replicated log.
	Node *quorum.Node
	// Log is the logger of the process, not the replicated log.
	Log *log.Logger
	// Voters is the number of voters that the group should have before it
	// acknowledges an order.
	Voters int
	// Started is when this instance started.
	Started time.Time
	// FailureDomains maps the names of the site's failure domains to their regions. If it
	// is empty, they are not known, and names are not checked.
	FailureDomains map[string]string
}

// Begin orders that no more requests be sent to the backend servers of a failure domain. An
// order that is in force already succeeds. The error wraps ErrUnknownFailureDomain or
// ErrNoConfiguration, after which nothing has changed, or peer.ErrUnavailable, after which
// the order may or may not come into force.
func (e *Evacuations) Begin(ctx context.Context, failureDomain string) error {
	return e.change(ctx, failureDomain, true)
}

// End withdraws the order of Begin. It returns the same errors.
func (e *Evacuations) End(ctx context.Context, failureDomain string) error {
	return e.change(ctx, failureDomain, false)
}

func (e *Evacuations) change(ctx context.Context, failureDomain string, evacuated bool) error {
	if !e.isKnown(failureDomain) {
		return errors.Newf("%q: %w", failureDomain, ErrUnknownFailureDomain)
	}
	if !mayAcknowledge(e.Node, e.Voters, e.Started) {
		return errors.Newf("the control group is still growing: %w", peer.ErrUnavailable)
	}
	result, err := group.Propose(ctx, e.Node, group.ChangeEvacuation{
		ID:            rand.Text(),
		FailureDomain: failureDomain,
		Evacuated:     evacuated,
		SubmittedAt:   time.Now().UnixMilli(),
	})
	if err != nil {
		e.Log.Warn("evacuation not confirmed", "failure_domain", failureDomain, "evacuated", evacuated, "err", err.Error())
		return err
	}
	switch result.Code {
	case group.CodeDone:
		e.Log.Info("evacuation acknowledged", "failure_domain", failureDomain, "evacuated", evacuated, "version", result.Version)
		return nil
	case group.CodeNotFound:
		return ErrNoConfiguration
	default:
		return errors.Newf("%s: %w", result.Detail, peer.ErrUnavailable)
	}
}

// isKnown reports whether the site has a failure domain of that name. Where the names are
// not known it accepts all that a configuration can hold.
func (e *Evacuations) isKnown(failureDomain string) bool {
	_, found := e.FailureDomains[failureDomain]
	return (found || len(e.FailureDomains) == 0) && config.IsFailureDomainName(failureDomain)
}
