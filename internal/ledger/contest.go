package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	// contestTimeout bounds the question to the other ledgers; those that do
	// not answer are skipped.
	contestTimeout = 250 * time.Millisecond
	// promiseTime is how long a ledger sends a key to the one that asked first.
	promiseTime = 5 * time.Second
)

// contest is a reservation of a shared key that the other ledgers are being
// asked about. The ledger that reserved first wins; of two that ask at once,
// the one with the lower instance id.
type contest struct {
	// done is closed once the outcome is decided and durable.
	done chan struct{}
	// lostTo is the address of the winner, or empty.
	lostTo string
	err    error
}

// promise sends a key to the ledger that asked about it.
type promise struct {
	holder string
	until  time.Time
}

// openContest starts to ask the other ledgers; the caller holds mu.
func (l *Ledger) openContest(id recordID, held *record) *contest {
	c := &contest{done: make(chan struct{})}
	l.contests[id] = c
	go l.runContest(id, held.reserve, c)
	return c
}

// finishContest waits for the decision and answers by it.
func (l *Ledger) finishContest(ctx context.Context, r Reserve, c *contest, won Reservation) (Reservation, error) {
	select {
	case <-c.done:
	case <-ctx.Done():
		return Reservation{}, errors.Newf("reserve %s: %w", r.Key, unavailable(ctx.Err()))
	}
	if c.err != nil {
		return Reservation{}, errors.Newf("reserve: %w", unavailable(c.err))
	}
	if c.lostTo != "" {
		return Reservation{Outcome: OutcomeElsewhere, Holder: c.lostTo}, nil
	}
	return won, nil
}

// runContest asks every other ledger and decides.
func (l *Ledger) runContest(id recordID, r Reserve, c *contest) {
	ctx, cancel := context.WithTimeout(context.Background(), contestTimeout)
	defer cancel()
	answers := make(chan contestAnswer, len(l.options.Peers))
	for _, other := range l.options.Peers {
		go l.runAsk(ctx, other, r, answers)
	}
	holder := ""
	skipped := false
	for range l.options.Peers {
		answer := <-answers
		skipped = skipped || answer.skipped
		if answer.holds {
			holder = answer.peer.Address
		}
	}
	c.err = l.decide(id, r, c, holder, skipped)
	close(c.done)
}

// decide ends the contest in one step, so that a question of another ledger
// meets it either open or decided.
func (l *Ledger) decide(id recordID, r Reserve, c *contest, holder string, skipped bool) error {
	l.mu.Lock()
	if c.lostTo == "" {
		c.lostTo = holder
	}
	delete(l.contests, id)
	held, err := l.state.held(r.Workspace, r.Key, r.Attempt)
	if skipped && err == nil {
		l.unchecked[id] = held
	}
	if c.lostTo == "" || err != nil || !held.isOpen() {
		l.mu.Unlock()
		return nil
	}
	synced := l.commit(released{Release: held.name(), At: now()})
	l.mu.Unlock()
	return <-synced
}

type contestAnswer struct {
	peer    Peer
	holds   bool
	skipped bool
}

type contestRequest struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	// Instance is the ledger that asks.
	Instance string `cbor:"3,keyasint"`
}

type contestResponse struct {
	// Holds tells that the ledger that answers holds the key.
	Holds bool `cbor:"1,keyasint,omitempty"`
}

// runAsk asks one other ledger.
func (l *Ledger) runAsk(ctx context.Context, other Peer, r Reserve, answers chan<- contestAnswer) {
	request := &contestRequest{Workspace: r.Workspace, Key: r.Key, Instance: l.options.Instance}
	response, err := peer.Call[contestRequest, contestResponse](ctx, l.options.Client, other.Address, contestProcedure, request)
	if err != nil {
		answers <- contestAnswer{peer: other, skipped: true}
		return
	}
	answers <- contestAnswer{peer: other, holds: response.Holds}
}

// serveContest answers another ledger that reserved a key.
func (l *Ledger) serveContest(_ context.Context, request *contestRequest) (*contestResponse, error) {
	asker, found := l.peerOf(request.Instance)
	if !found {
		return nil, errors.Newf("unknown ledger %s: %w", request.Instance, peer.ErrInvalid)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	id := recordID{workspace: request.Workspace, key: request.Key}
	held := l.state.records[id]
	if held == nil || held.state == stateReleased {
		l.promises[id] = promise{holder: asker.Address, until: time.Now().Add(promiseTime)}
		return &contestResponse{}, nil
	}
	open := l.contests[id]
	if open != nil && asker.Instance < l.options.Instance {
		open.lostTo = asker.Address
		return &contestResponse{}, nil
	}
	return &contestResponse{Holds: true}, nil
}

func (l *Ledger) peerOf(instance string) (Peer, bool) {
	for _, other := range l.options.Peers {
		if other.Instance == instance {
			return other, true
		}
	}
	return Peer{}, false
}

// promised returns the ledger that asked about a key a short time ago; the
// caller holds mu.
func (l *Ledger) promised(id recordID) (string, bool) {
	found, ok := l.promises[id]
	if !ok {
		return "", false
	}
	if time.Now().After(found.until) {
		delete(l.promises, id)
		return "", false
	}
	return found.holder, true
}
