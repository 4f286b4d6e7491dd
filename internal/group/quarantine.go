package group

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	quarantineProcedure = "/group/quarantine"
	// maxQuarantined bounds the segments that the group remembers; the oldest yield.
	maxQuarantined = 1024
)

// ChangeQuarantine adds prompt segments to those in quarantine and removes others. An
// empty one only reads them.
type ChangeQuarantine struct {
	Add    []uint64 `cbor:"1,keyasint,omitempty"`
	Remove []uint64 `cbor:"2,keyasint,omitempty"`
}

// changeQuarantine applies a change and returns all segments in quarantine.
func (s *state) changeQuarantine(c ChangeQuarantine) Result {
	for _, segment := range c.Add {
		if !slices.Contains(s.Quarantined, segment) {
			s.Quarantined = append(s.Quarantined, segment)
		}
	}
	s.Quarantined = slices.DeleteFunc(s.Quarantined, func(segment uint64) bool { return slices.Contains(c.Remove, segment) })
	s.Quarantined = s.Quarantined[max(0, len(s.Quarantined)-maxQuarantined):]
	return Result{Code: CodeDone, Quarantined: slices.Clone(s.Quarantined)}
}

// QuarantineStore keeps the segments in quarantine at the control group, where they
// outlive all entries.
type QuarantineStore struct {
	Directory *Directory
	Client    *peer.Client
	// preferred is the address of the control instance that the next call goes to.
	preferred string
}

// Sync sends a change to a control instance and returns all segments in quarantine.
// After an error the next call goes to another control instance. It must not be called
// concurrently.
func (q *QuarantineStore) Sync(ctx context.Context, add, remove []uint64) ([]uint64, error) {
	if q.preferred == "" {
		q.preferred, _ = q.Directory.nextAfter("")
	}
	result, err := peer.Call[ChangeQuarantine, Result](ctx, q.Client, q.preferred, quarantineProcedure, &ChangeQuarantine{Add: add, Remove: remove})
	if err != nil {
		q.preferred, _ = q.Directory.nextAfter(q.preferred)
		return nil, peer.Unavailable("sync the quarantine with the control group", err)
	}
	if result.Code != CodeDone {
		return nil, errors.Newf("sync the quarantine: %s: %s", result.Code, result.Detail)
	}
	return result.Quarantined, nil
}
