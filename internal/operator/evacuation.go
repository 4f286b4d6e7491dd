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
	"github.com/cactusbay/cactusbay/internal/transport"
)

var (
	// ErrUnknownFailureDomain reports an order for a failure domain that the site does not
	// have. It changed nothing.
	ErrUnknownFailureDomain = errors.New("no failure domain of this site has that name")
	// ErrNoConfiguration reports an order before the first configuration. It changed
	// nothing.
	ErrNoConfiguration = errors.New("there is no configuration yet")
)

// Member is an instance's member of the replicated log.
type Member interface {
	group.Log
	// Barrier returns once this instance has applied all that was committed before.
	Barrier(ctx context.Context) error
	// Status returns what this instance knows of the group.
	Status() quorum.Status
}

// Evacuations begins and ends the evacuations of failure domains for operators. Its fields
// must not change while its methods are in use.
type Evacuations struct {
	// Node is this instance's member of the replicated log.
	Node Member
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
	err := e.confirmWanted(ctx)
	if err != nil {
		return err
	}
	result, err := group.Propose(ctx, e.Node, group.ChangeEvacuation{
		ID:            rand.Text(),
		FailureDomain: failureDomain,
		Evacuated:     evacuated,
		SubmittedAt:   time.Now().UnixMilli(),
	})
	if err != nil {
		e.Log.Warn("evacuation not confirmed", "evacuated_domain", failureDomain, "evacuated", evacuated, "err", err.Error())
		return err
	}
	switch result.Code {
	case group.CodeDone:
		e.Log.Info("evacuation acknowledged", "evacuated_domain", failureDomain, "evacuated", evacuated, "version", result.Version)
		return nil
	case group.CodeNotFound:
		return ErrNoConfiguration
	default:
		return errors.Newf("%s: %w", result.Detail, peer.ErrUnavailable)
	}
}

// confirmWanted returns an error if the operator has given up on the order: ctx has ended, or
// the operator has closed the connection. An instance that was stopped for a while reads the
// order and the close of its connection at the same time, and the operator may have ordered the
// opposite elsewhere since. The barrier takes a round trip to another member, during which a
// close that is still in transit may arrive.
func (e *Evacuations) confirmWanted(ctx context.Context) error {
	err := e.Node.Barrier(ctx)
	if err != nil {
		return errors.Newf("confirm the leader: %w", err)
	}
	if ctx.Err() != nil || transport.IsClosedByPeer(ctx) {
		return errors.Newf("the operator has given up on the order: %w", peer.ErrUnavailable)
	}
	return nil
}

// isKnown reports whether the site has a failure domain of that name. Where the names are
// not known it accepts all that a configuration can hold.
func (e *Evacuations) isKnown(failureDomain string) bool {
	_, found := e.FailureDomains[failureDomain]
	return (found || len(e.FailureDomains) == 0) && config.IsFailureDomainName(failureDomain)
}
