package process

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/overload"
)

// divertLoop passes what an entry measures to its diverter, and logs when the entry begins and
// ceases to divert.
type divertLoop struct {
	diverter   *overload.Diverter
	controller *overload.Controller
	counter    *linkCounter
	log        *log.Logger

	// began and highest belong to the time between the two lines.
	began   time.Time
	highest overload.Utilization

	stop context.CancelFunc
	done chan struct{}
}

// startDivertLoop decides in the background until close is called.
func startDivertLoop(diverter *overload.Diverter, controller *overload.Controller, counter *linkCounter, logger *log.Logger) *divertLoop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &divertLoop{diverter: diverter, controller: controller, counter: counter, log: logger, stop: cancel, done: make(chan struct{})}
	go l.run(ctx)
	return l
}

func (l *divertLoop) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(overload.DivertInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.step(time.Now())
	}
}

// step decides and logs a change.
func (l *divertLoop) step(now time.Time) {
	status := l.controller.Status(now)
	state, changed := l.diverter.Step(now, l.counter.total(), status)
	l.logChange(now, state, status, changed)
}

func (l *divertLoop) close() {
	l.stop()
	<-l.done
}

// logChange logs that the entry has begun or ceased to divert, with what it decided from.
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
