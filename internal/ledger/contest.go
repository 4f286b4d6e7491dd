package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// contestTimeout bounds the question to the other ledgers; those that do not
// answer are skipped.
const contestTimeout = 250 * time.Millisecond

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
	asked := l.answering()
	for _, other := range asked {
		go l.runAsk(ctx, other, r, answers)
	}
	holder := ""
	skipped := len(asked) < len(l.options.Peers)
	for range asked {
		answer := <-answers
		if answer.skipped {
			l.setSilent(answer.peer.Instance, true)
		}
		skipped = skipped || answer.skipped
		if answer.holds {
			holder = answer.peer.Address
		}
	}
	c.err = l.decide(id, r, c, holder, skipped)
	close(c.done)
}

// answering returns the other ledgers that answered last time.
func (l *Ledger) answering() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var answering []Peer
	for _, other := range l.options.Peers {
		if !l.silent[other.Instance] {
			answering = append(answering, other)
		}
	}
	return answering
}

// setSilent notes whether another ledger answers. A silent one is not asked
// about keys until an exchange of bills has reached it again.
func (l *Ledger) setSilent(instance string, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if silent {
		l.silent[instance] = true
	} else {
		delete(l.silent, instance)
	}
	if l.options.Scope != nil {
		l.options.Scope.Gauge("ledgers_unreachable").Update(float64(len(l.silent)))
	}
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
