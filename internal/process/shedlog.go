package process

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/overload"
)

const (
	// shedLogInterval is the time between two checks of the shedding level, which changes
	// as often.
	shedLogInterval = 100 * time.Millisecond
	// shedLogPause is how long the level must be 0 before shedding counts as ended, so that
	// a level that goes up and down writes at most two lines in this time.
	shedLogPause = time.Second
)

// shedLogger logs when an entry begins and ceases to shed requests.
type shedLogger struct {
	controller *overload.Controller
	log        *log.Logger

	// shedding is set from the line of the begin to that of the end; the fields below
	// belong to this time.
	shedding bool
	began    time.Time
	// lastShed is when the level was last above 0.
	lastShed     time.Time
	highestDelay time.Duration
	highestLevel float64

	stop context.CancelFunc
	done chan struct{}
}

// startShedLogger logs in the background until close is called.
func startShedLogger(controller *overload.Controller, logger *log.Logger) *shedLogger {
	ctx, cancel := context.WithCancel(context.Background())
	l := &shedLogger{controller: controller, log: logger, stop: cancel, done: make(chan struct{})}
	go l.run(ctx)
	return l
}

func (l *shedLogger) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(shedLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		l.logChange(now, l.controller.Status(now))
	}
}

func (l *shedLogger) close() {
	l.stop()
	<-l.done
}

// logChange logs whether shedding has begun or ended.
func (l *shedLogger) logChange(now time.Time, status overload.Status) {
	if status.Level > 0 {
		if !l.shedding {
			l.shedding, l.began = true, now
			l.highestDelay, l.highestLevel = 0, 0
			l.log.Info("shedding begun", statusFields(status)...)
		}
		l.lastShed = now
		l.highestDelay = max(l.highestDelay, status.Delay)
		l.highestLevel = max(l.highestLevel, status.Level)
		return
	}
	if l.shedding && now.Sub(l.lastShed) >= shedLogPause {
		l.shedding = false
		l.log.Info("shedding ended", append(statusFields(status),
			"highest_delay_ms", l.highestDelay.Milliseconds(),
			"highest_level", l.highestLevel,
			"for_ms", l.lastShed.Sub(l.began).Milliseconds())...)
	}
}

// statusFields returns the log fields that explain the shedding level. Its field can't be
// named level, because every line has one of that name.
func statusFields(status overload.Status) []any {
	return []any{
		"delay_ms", status.Delay.Milliseconds(),
		"delay_known", status.Known,
		"target_ms", status.Target.Milliseconds(),
		"shedding_level", status.Level,
		"peers_with_room", status.Room,
	}
}
