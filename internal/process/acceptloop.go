package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/overload"
)

// refusalLogDelay is how long connections must have been accepted before the end of refusing
// them is logged, because pauses of some milliseconds would otherwise write two lines each.
const refusalLogDelay = 3 * time.Second

// acceptLoop refuses the connections of callers while their requests fill the incoming link.
type acceptLoop struct {
	limiter  *overload.AcceptLimiter
	diverter *overload.Diverter
	// mayDivert is set while the entry may divert. Only then may it refuse connections.
	mayDivert *atomic.Bool
	counter   *linkCounter
	listener  *pausableListener
	log       *log.Logger

	// paused is set from a pause until the socket is open again. isRefusing is its copy for
	// other goroutines.
	paused     bool
	isRefusing atomic.Bool
	// isFailing is set while the socket can't be opened again.
	isFailing atomic.Bool
	// pauses counts the pauses, and pausedTime sums up their nanoseconds.
	pauses     atomic.Int64
	pausedTime atomic.Int64
	// steppedAt is the time of the last step.
	steppedAt time.Time

	// logged is set once the begin of refusing connections is logged, until its end is. The
	// other fields describe the time between the two lines: loggedPauses and loggedTime are
	// the values of pauses and pausedTime at its begin.
	logged             bool
	began, lastPaused  time.Time
	loggedPauses       int64
	loggedTime         time.Duration
	highestUtilization float64

	stop context.CancelFunc
	done chan struct{}
}

// start decides in the background until close is called.
func (l *acceptLoop) start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop, l.done = cancel, make(chan struct{})
	go l.run(ctx)
}

func (l *acceptLoop) run(ctx context.Context) {
	defer close(l.done)
	stepEvery(ctx, overload.AcceptInterval, l.mayDivert, l.step)
}

// close ends the decisions and accepts connections again. It may be called more than once.
func (l *acceptLoop) close() {
	l.stop()
	<-l.done
	err := l.listener.resume()
	if err != nil {
		l.log.Error("connections are refused after the end of a pause", "err", err.Error())
	}
	l.isRefusing.Store(false)
}

// step pauses or resumes the listener as the limiter says.
func (l *acceptLoop) step(now time.Time) {
	if l.paused {
		l.pausedTime.Add(int64(now.Sub(l.steppedAt)))
	}
	l.steppedAt = now
	pause := l.limiter.Step(now, l.counter.total(), l.mayDivert.Load() && l.diverter.Status().PeersHaveRoom)
	if pause {
		l.diverter.RecordPause()
	}
	switch {
	case pause && !l.paused:
		l.listener.pause()
		l.paused = true
		l.pauses.Add(1)
	case !pause && l.paused:
		l.paused = !l.resume()
	}
	l.isRefusing.Store(l.paused)
	l.logChange(now)
}

// resume opens the listener's socket and reports whether it could. The next step tries again.
func (l *acceptLoop) resume() bool {
	err := l.listener.resume()
	failed := l.isFailing.Swap(err != nil)
	if err != nil && !failed {
		l.log.Error("connections are refused after the end of a pause", "err", err.Error())
	}
	return err == nil
}

// logChange logs that the entry has begun or ceased to refuse connections.
func (l *acceptLoop) logChange(now time.Time) {
	utilization := l.limiter.Utilization()
	if l.paused {
		if !l.logged {
			l.logged, l.began, l.highestUtilization = true, now, 0
			l.loggedPauses, l.loggedTime = l.pauses.Load()-1, time.Duration(l.pausedTime.Load())
			l.log.Info("refusing connections begun", "utilization_received", utilization)
		}
		l.lastPaused = now
		l.highestUtilization = max(l.highestUtilization, utilization)
		return
	}
	if l.logged && now.Sub(l.lastPaused) >= refusalLogDelay {
		l.logged = false
		l.log.Info("refusing connections ended",
			"utilization_received", utilization,
			"highest_utilization_received", l.highestUtilization,
			"pauses", l.pauses.Load()-l.loggedPauses,
			"refusing_ms", (time.Duration(l.pausedTime.Load()) - l.loggedTime).Milliseconds(),
			"for_ms", l.lastPaused.Sub(l.began).Milliseconds())
	}
}
