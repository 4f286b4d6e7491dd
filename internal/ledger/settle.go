package ledger

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Settle bills a request once. A resend changes nothing.
func (l *Ledger) Settle(_ context.Context, s Settle) error {
	synced, err := l.trySettle(s)
	if err != nil {
		return errors.Newf("settle: %w", markInvalid(err))
	}
	err = markUnavailable(<-synced)
	if err != nil {
		return errors.Newf("settle: %w", err)
	}
	return nil
}

// trySettle commits the settlement. The channel receives the result of the
// sync.
func (l *Ledger) trySettle(s Settle) (<-chan error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, err := l.state.record(s.Workspace, s.Key, s.Attempt)
	if err != nil {
		return nil, err
	}
	if record.state == stateReleased {
		return nil, errors.Newf("attempt %s was released: %w", s.Attempt, ErrNoReservation)
	}
	if !record.isOpen() {
		return l.journal.Barrier(), nil
	}
	return l.commit(settled{Settle: s, At: nowMillis()}), nil
}

// Release ends the reservation of an attempt that was not dispatched. A resend
// changes nothing. If a release arrives before its reservation, the reservation
// is refused.
func (l *Ledger) Release(_ context.Context, r Release) error {
	synced, err := l.tryRelease(r)
	if err != nil {
		return errors.Newf("release: %w", markInvalid(err))
	}
	err = markUnavailable(<-synced)
	if err != nil {
		return errors.Newf("release: %w", err)
	}
	return nil
}

// tryRelease commits the release. The channel receives the result of the sync.
func (l *Ledger) tryRelease(r Release) (<-chan error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, err := l.state.record(r.Workspace, r.Key, r.Attempt)
	_, abandoned := l.state.abandoned[r.Attempt]
	if abandoned || (err == nil && record.state == stateReleased) {
		return l.journal.Barrier(), nil
	}
	if err == nil && !record.isOpen() {
		return nil, errors.Newf("attempt %s is billed already", r.Attempt)
	}
	if err != nil {
		return l.commit(released{Release: r, At: nowMillis()}), nil
	}
	return l.releaseRecord(record, nowMillis()), nil
}

// releaseRecord ends an attempt that did not run. If its reservation voided the
// bill of an earlier attempt, that bill is restored and compared with the other
// ledgers again. The caller holds mu.
func (l *Ledger) releaseRecord(record *requestRecord, at int64) <-chan error {
	c := released{Release: record.attemptID(), At: at, RestoreBill: record.voidedBill != nil}
	synced := l.commit(c)
	if c.RestoreBill && record.reserve.SharedKey {
		id := recordID{workspace: record.reserve.Workspace, key: record.reserve.Key}
		l.unreconciled[id] = record
	}
	return synced
}
