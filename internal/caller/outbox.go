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
	outboxCapacity     = 4096
	outboxInterval     = 500 * time.Millisecond
	outboxTimeout      = time.Second
	outboxDrainTimeout = 2 * time.Second
	heartbeatPeriod    = time.Second
)

// notification reports the end of an attempt to a ledger or the control group. It
// is a pendingSettle, pendingRelease or pendingAbandon.
type notification interface {
	isNotification()
}

// pendingSettle is a settlement for the ledger at address.
type pendingSettle struct {
	address string
	settle  ledger.Settle
}

// pendingRelease is a release for the ledger at address.
type pendingRelease struct {
	address string
	release ledger.Release
}

// pendingAbandon is an abandoned claim for the control group.
type pendingAbandon struct {
	abandon group.AbandonClaim
}

func (pendingSettle) isNotification()  {}
func (pendingRelease) isNotification() {}
func (pendingAbandon) isNotification() {}

// Outbox resends settlements and releases to the ledgers, and abandoned claims to
// the control group, until they are confirmed or refused for good. It also sends
// the entry's heartbeats to the ledgers. When its queue is full, it drops the
// notification, and the ledger settles the attempt itself.
type Outbox struct {
	// Entry is the entry's instance id and epoch.
	Entry   string
	Ledger  *ledger.Client
	Claimer *group.Claimer
	Log     *log.Logger
	Scope   tally.Scope

	queue          chan notification
	pending        []notification
	stop           context.CancelFunc
	done           chan struct{}
	heartbeatsDone chan struct{}
}

// Start starts sending notifications and heartbeats.
func (o *Outbox) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	o.queue = make(chan notification, outboxCapacity)
	o.stop = cancel
	o.done = make(chan struct{})
	o.heartbeatsDone = make(chan struct{})
	go o.run(ctx)
	go o.loop(ctx)
}

// Close sends the queued notifications once more, for at most outboxDrainTimeout,
// and stops the outbox.
func (o *Outbox) Close() {
	o.stop()
	<-o.done
	<-o.heartbeatsDone
}

// enqueue queues a notification and reports whether the queue had room.
func (o *Outbox) enqueue(n notification) bool {
	select {
	case o.queue <- n:
		return true
	default:
		o.Scope.Counter("outbox_full").Inc(1)
		o.Log.Error("outbox is full, dropped a notification; the ledger settles the attempt itself")
		return false
	}
}

// QueueRelease releases an attempt at the ledger at address in the background. It
// does not block.
func (o *Outbox) QueueRelease(address string, r ledger.Release) {
	o.enqueue(pendingRelease{address: address, release: r})
}

// run sends new notifications at once and retries failed ones every
// outboxInterval.
func (o *Outbox) run(ctx context.Context) {
	defer close(o.done)
	ticker := time.NewTicker(outboxInterval)
	defer ticker.Stop()
	for {
		select {
		case n := <-o.queue:
			o.pending = append(o.pending, n)
			o.sendAll(ctx)
		case <-ticker.C:
			o.sendAll(ctx)
		case <-ctx.Done():
			o.drain()
			return
		}
	}
}

// drain sends the queued and the pending notifications once more after Close.
func (o *Outbox) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), outboxDrainTimeout)
	defer cancel()
	for len(o.queue) > 0 {
		o.pending = append(o.pending, <-o.queue)
	}
	o.sendAll(ctx)
}

// sendAll sends every pending notification once and keeps those that failed.
// After a failure, it skips the address for the rest of the pass.
func (o *Outbox) sendAll(ctx context.Context) {
	for len(o.queue) > 0 && len(o.pending) < outboxCapacity {
		o.pending = append(o.pending, <-o.queue)
	}
	failed := make(map[string]bool)
	var unsent []notification
	for _, n := range o.pending {
		address := addressOf(n)
		if !failed[address] {
			err := o.send(ctx, n)
			if err == nil || ledger.IsPermanent(err) {
				continue
			}
			failed[address] = true
		}
		unsent = append(unsent, n)
	}
	o.pending = unsent
	o.Scope.Gauge("outbox_pending").Update(float64(len(unsent)))
}

// addressOf returns the ledger's address, or "" for the control group.
func addressOf(n notification) string {
	switch n := n.(type) {
	case pendingSettle:
		return n.address
	case pendingRelease:
		return n.address
	default:
		return ""
	}
}

// send sends one notification to its ledger or to the control group.
func (o *Outbox) send(ctx context.Context, n notification) error {
	ctx, cancel := context.WithTimeout(ctx, outboxTimeout)
	defer cancel()
	switch n := n.(type) {
	case pendingSettle:
		return o.Ledger.Settle(ctx, n.address, n.settle)
	case pendingRelease:
		return o.Ledger.Release(ctx, n.address, n.release)
	case pendingAbandon:
		return o.Claimer.Abandon(ctx, n.abandon)
	default:
		return nil
	}
}

// loop sends a heartbeat to every ledger each heartbeatPeriod. A ledger that has
// not responded to the previous heartbeat is skipped.
func (o *Outbox) loop(ctx context.Context) {
	defer close(o.heartbeatsDone)
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	slots := make(map[string]chan struct{})
	for _, address := range o.Ledger.Addresses {
		slots[address] = make(chan struct{}, 1)
	}
	for {
		for address, slot := range slots {
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

// runHeartbeat sends one heartbeat, then allows the next one to the address.
func (o *Outbox) runHeartbeat(ctx context.Context, address string, slot <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, outboxTimeout)
	defer cancel()
	err := o.Ledger.Heartbeat(ctx, address, o.Entry)
	if err != nil && ctx.Err() == nil {
		o.Log.Debug("heartbeat to the ledger failed", "address", address, "err", err.Error())
	}
	<-slot
}
