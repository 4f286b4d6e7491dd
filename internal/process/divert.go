package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/overload"
)

// idleInterval is the time between two steps of the loops of an entry that may not divert.
const idleInterval = time.Second

// divertLoop passes the entry's measurements to its diverter, and logs when the entry begins and
// ceases to divert.
type divertLoop struct {
	diverter   *overload.Diverter
	controller *overload.Controller
	counter    *linkCounter
	// asked reports whether the contracts or the backend servers ask for diverting. mayDivert
	// is its result at the last step, for other goroutines.
	mayDivert *atomic.Bool
	asked     func(now time.Time) bool
	log       *log.Logger

	// began is when the diversion in progress has begun, and highest the highest utilization
	// since then.
	began   time.Time
	highest overload.Utilization

	stop context.CancelFunc
	done chan struct{}
}

// startDivertLoop decides in the background until close is called.
func startDivertLoop(diverter *overload.Diverter, controller *overload.Controller, counter *linkCounter, mayDivert *atomic.Bool, asked func(now time.Time) bool, logger *log.Logger) *divertLoop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &divertLoop{diverter: diverter, controller: controller, counter: counter, mayDivert: mayDivert, asked: asked, log: logger, stop: cancel, done: make(chan struct{})}
	go l.run(ctx)
	return l
}

func (l *divertLoop) run(ctx context.Context) {
	defer close(l.done)
	stepEvery(ctx, overload.DivertInterval, l.mayDivert, l.step)
}

// stepEvery calls step at once and then, until ctx ends, at the given interval while mayDivert
// is set and at idleInterval while it is not.
func stepEvery(ctx context.Context, interval time.Duration, mayDivert *atomic.Bool, step func(now time.Time)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		step(time.Now())
		if mayDivert.Load() {
			timer.Reset(interval)
		} else {
			timer.Reset(idleInterval)
		}
	}
}

// step decides whether the entry diverts, and logs a change.
func (l *divertLoop) step(now time.Time) {
	l.mayDivert.Store(l.asked(now))
	if !l.mayDivert.Load() {
		state, changed := l.diverter.Stop(now)
		l.logChange(now, state, overload.Status{}, changed)
		return
	}
	status := l.controller.Status(now)
	state, changed := l.diverter.Step(now, l.counter.total(), status)
	l.logChange(now, state, status, changed)
}

func (l *divertLoop) close() {
	l.stop()
	<-l.done
}

// logChange logs a begin or an end of diverting, with the inputs of the decision.
func (l *divertLoop) logChange(now time.Time, state overload.Diversion, status overload.Status, changed bool) {
	if state.Diverting {
		l.highest.Received = max(l.highest.Received, state.Utilization.Received)
		l.highest.Sent = max(l.highest.Sent, state.Utilization.Sent)
	}
	if !changed {
		return
	}
	fields := []any{
		"cause", string(state.Cause),
		"utilization_received", state.Utilization.Received,
		"utilization_sent", state.Utilization.Sent,
		"delay_ms", status.Delay.Milliseconds(),
		"delay_known", status.Known,
		"target_ms", status.Target.Milliseconds(),
		"peers", state.Peers,
		"peers_with_room", state.Room,
		"peers_diverting", state.PeersDiverting,
	}
	if state.Diverting {
		l.began = now
		l.log.Info("diverting begun", fields...)
		return
	}
	l.log.Info("diverting ended", append(fields,
		"highest_utilization_received", l.highest.Received,
		"highest_utilization_sent", l.highest.Sent,
		"for_ms", now.Sub(l.began).Milliseconds())...)
	l.highest = overload.Utilization{}
}
