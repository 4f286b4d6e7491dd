package caller

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/ledger"
)

const (
	outboxSlots     = 4096
	outboxInterval  = 500 * time.Millisecond
	outboxTimeout   = time.Second
	outboxLastTries = 2 * time.Second
	heartbeatPeriod = time.Second
)

// ending is what an entry still has to tell about an attempt: one of the types
// below.
type ending interface {
	isEnding()
}

type pendingSettle struct {
	address string
	settle  ledger.Settle
}

type pendingRelease struct {
	address string
	release ledger.Release
}

type pendingAbandon struct {
	abandon group.AbandonClaim
}

func (pendingSettle) isEnding()  {}
func (pendingRelease) isEnding() {}
func (pendingAbandon) isEnding() {}

// Outbox tells ledgers and the control group the ends of attempts until they
// have them, and tells the ledgers that the entry lives. What does not fit is
// left to the ledgers, which settle it themselves.
type Outbox struct {
	// Entry is the entry instance and its incarnation.
	Entry   string
	Ledger  *ledger.Client
	Claimer *group.Claimer
	Log     *log.Logger
	Scope   tally.Scope

	ring    chan ending
	pending []ending
	stop    context.CancelFunc
	done    chan struct{}
	beats   chan struct{}
}

// Start begins to send.
func (o *Outbox) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	o.ring = make(chan ending, outboxSlots)
	o.stop = cancel
	o.done = make(chan struct{})
	o.beats = make(chan struct{})
	go o.run(ctx)
	go o.loop(ctx)
}

// Close tries for a short time to send what is left.
func (o *Outbox) Close() {
	o.stop()
	<-o.done
	<-o.beats
}

// add queues an ending and tells whether there was room.
func (o *Outbox) add(e ending) bool {
	select {
	case o.ring <- e:
		return true
	default:
		o.Scope.Counter("outbox_full").Inc(1)
		o.Log.Error("outbox is full; the ledger will settle the attempt itself")
		return false
	}
}

// GiveUp releases an attempt in the background.
func (o *Outbox) GiveUp(address string, r ledger.Release) {
	o.add(pendingRelease{address: address, release: r})
}

// run sends what waits at an interval.
func (o *Outbox) run(ctx context.Context) {
	defer close(o.done)
	ticker := time.NewTicker(outboxInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-o.ring:
			o.pending = append(o.pending, e)
			o.sendAll(ctx)
		case <-ticker.C:
			o.sendAll(ctx)
		case <-ctx.Done():
			o.finish()
			return
		}
	}
}

// finish makes the last tries after Close.
func (o *Outbox) finish() {
	ctx, cancel := context.WithTimeout(context.Background(), outboxLastTries)
	defer cancel()
	for len(o.ring) > 0 {
		o.pending = append(o.pending, <-o.ring)
	}
	o.sendAll(ctx)
}

// sendAll sends every pending ending once and keeps those that failed. An
// address that failed is left out for the rest of the pass.
func (o *Outbox) sendAll(ctx context.Context) {
	for len(o.ring) > 0 && len(o.pending) < outboxSlots {
		o.pending = append(o.pending, <-o.ring)
	}
	failed := make(map[string]bool)
	var kept []ending
	for _, e := range o.pending {
		address := addressOf(e)
		if !failed[address] {
			err := o.send(ctx, e)
			if err == nil || ledger.IsPermanent(err) {
				continue
			}
			failed[address] = true
		}
		kept = append(kept, e)
	}
	o.pending = kept
	o.Scope.Gauge("outbox_pending").Update(float64(len(kept)))
}

func addressOf(e ending) string {
	switch e := e.(type) {
	case pendingSettle:
		return e.address
	case pendingRelease:
		return e.address
	default:
		return ""
	}
}

func (o *Outbox) send(ctx context.Context, e ending) error {
	ctx, cancel := context.WithTimeout(ctx, outboxTimeout)
	defer cancel()
	switch e := e.(type) {
	case pendingSettle:
		return o.Ledger.Settle(ctx, e.address, e.settle)
	case pendingRelease:
		return o.Ledger.Release(ctx, e.address, e.release)
	case pendingAbandon:
		return o.Claimer.Abandon(ctx, e.abandon)
	default:
		return nil
	}
}

// loop sends heartbeats to every ledger.
func (o *Outbox) loop(ctx context.Context) {
	defer close(o.beats)
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	waits := make(map[string]chan struct{})
	for _, address := range o.Ledger.Addresses {
		waits[address] = make(chan struct{}, 1)
	}
	for {
		for address, slot := range waits {
			select {
			case slot <- struct{}{}:
				go o.runHeartbeat(ctx, address, slot)
			default:
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// runHeartbeat sends one heartbeat and frees the address's slot.
func (o *Outbox) runHeartbeat(ctx context.Context, address string, slot <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, outboxTimeout)
	defer cancel()
	err := o.Ledger.Heartbeat(ctx, address, o.Entry)
	if err != nil && ctx.Err() == nil {
		o.Log.Debug("heartbeat was not delivered", "address", address, "err", err.Error())
	}
	<-slot
}
