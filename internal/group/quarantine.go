package group

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/quarantine"
)

const (
	quarantineProcedure = "/group/quarantine"
	// maxQuarantined bounds the segments, and the requests, that the group remembers; the
	// oldest yield.
	maxQuarantined = 1024
)

// ChangeQuarantine adds prompt segments and requests to those in quarantine and removes
// others. An empty one only reads them.
type ChangeQuarantine struct {
	Add            []uint64 `cbor:"1,keyasint,omitempty"`
	Remove         []uint64 `cbor:"2,keyasint,omitempty"`
	AddRequests    []uint64 `cbor:"3,keyasint,omitempty"`
	RemoveRequests []uint64 `cbor:"4,keyasint,omitempty"`
}

// changeQuarantine applies a change and returns all that is in quarantine.
func (s *state) changeQuarantine(c ChangeQuarantine) Result {
	s.Quarantined = changeBounded(s.Quarantined, c.Add, c.Remove)
	s.QuarantinedRequests = changeBounded(s.QuarantinedRequests, c.AddRequests, c.RemoveRequests)
	return Result{Code: CodeDone, Quarantined: slices.Clone(s.Quarantined), QuarantinedRequests: slices.Clone(s.QuarantinedRequests)}
}

// changeBounded adds numbers to a list and removes others, and keeps the newest
// maxQuarantined.
func changeBounded(numbers, add, remove []uint64) []uint64 {
	for _, number := range add {
		if !slices.Contains(numbers, number) {
			numbers = append(numbers, number)
		}
	}
	numbers = slices.DeleteFunc(numbers, func(number uint64) bool { return slices.Contains(remove, number) })
	return numbers[max(0, len(numbers)-maxQuarantined):]
}

// QuarantineStore keeps what is in quarantine at the control group, where it outlives all
// entries.
type QuarantineStore struct {
	Directory *Directory
	Client    *peer.Client
	// preferred is the address of the control instance that the next call goes to.
	preferred string
}

// Sync sends a change to a control instance and returns all keys in quarantine.
// After an error the next call goes to another control instance. It must not be called
// concurrently.
func (q *QuarantineStore) Sync(ctx context.Context, add, remove []quarantine.Key) ([]quarantine.Key, error) {
	if q.preferred == "" {
		q.preferred, _ = q.Directory.nextAfter("")
	}
	change := &ChangeQuarantine{}
	change.Add, change.AddRequests = splitKeys(add)
	change.Remove, change.RemoveRequests = splitKeys(remove)
	result, err := peer.Call[ChangeQuarantine, Result](ctx, q.Client, q.preferred, quarantineProcedure, change)
	if err != nil {
		q.preferred, _ = q.Directory.nextAfter(q.preferred)
		return nil, peer.Unavailable("sync the quarantine with the control group", err)
	}
	if result.Code != CodeDone {
		return nil, errors.Newf("sync the quarantine: %s: %s", result.Code, result.Detail)
	}
	return joinKeys(result.Quarantined, result.QuarantinedRequests), nil
}

// splitKeys returns the numbers of the segments and of the requests among keys.
func splitKeys(keys []quarantine.Key) (segments, requests []uint64) {
	for _, key := range keys {
		switch key := key.(type) {
		case quarantine.Segment:
			segments = append(segments, uint64(key))
		case quarantine.Request:
			requests = append(requests, uint64(key))
		}
	}
	return segments, requests
}

// joinKeys returns the keys with the given numbers.
func joinKeys(segments, requests []uint64) []quarantine.Key {
	var keys []quarantine.Key
	for _, number := range segments {
		keys = append(keys, quarantine.Segment(number))
	}
	for _, number := range requests {
		keys = append(keys, quarantine.Request(number))
	}
	return keys
}
