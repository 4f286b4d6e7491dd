package process

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/roster"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// reopenDelay is the pause before an instance is opened again after a failure,
	// such as a failed disk.
	reopenDelay         = 300 * time.Millisecond
	failurePollInterval = 100 * time.Millisecond
	failuresPerLogLine  = 10
)

// Supervisor runs the control instance of a seeded site. It opens the member
// again after a failure, such as a failed disk, and opens it as a new member with
// an empty folder after the control group has retired it.
type Supervisor struct {
	Settings    *settings.Settings
	Environment Environment
	Dialect     Dialect
	// Reloads receives changed settings; nil means that they never change.
	Reloads <-chan *settings.Settings
}

// Run serves until ctx ends and then shuts the member down. It always returns nil:
// failures to start are logged and retried.
func (s *Supervisor) Run(ctx, shutdownCtx context.Context) error {
	for {
		member, started := startRepeatedly(ctx, s.Environment.Telemetry.Log, func() (*Member, error) {
			return StartMember(s.Settings, s.Environment, s.Dialect)
		})
		if !started {
			return nil
		}
		s.watch(ctx, shutdownCtx, member)
	}
}

// watch runs until the member has to be replaced or ctx ends, and then closes the
// member. Meanwhile it applies reloaded seeds and logs changes of the group.
func (s *Supervisor) watch(ctx, shutdownCtx context.Context, member *Member) {
	logger := s.Environment.Telemetry.Log
	ticker := time.NewTicker(failurePollInterval)
	defer ticker.Stop()
	statusLogger := &statusLogger{log: logger}
	for {
		select {
		case <-ctx.Done():
			member.Shutdown(shutdownCtx)
			return
		case changed := <-s.Reloads:
			s.Settings = changed
			member.SetSeeds(changed.Seeded.PeerAddresses())
		case <-member.Retired():
			contacts := member.Contacts()
			member.Close()
			err := roster.Discard(s.Environment.Folder, contacts)
			if err != nil {
				logger.Error("cannot discard the data folder of the retired member; trying again after the next start", "err", err.Error())
			}
			sleep.For(ctx, reopenDelay)
			return
		case <-ticker.C:
			statusLogger.logChanges(member.Quorum.Status())
			failure := member.Failure()
			if failure == "" {
				continue
			}
			logger.Error("the member has failed; opening it again", "cause", failure)
			member.Close()
			sleep.For(ctx, reopenDelay)
			return
		}
	}
}

// ControlSupervisor runs the control instance of a site whose settings list the
// control group. It opens the instance again after a failure, such as a full disk.
type ControlSupervisor struct {
	Settings    *settings.Settings
	Environment Environment
}

// Run serves until ctx ends and returns the running instance, which the caller shuts
// down, or nil if none is open. It returns an error if the first start fails.
func (s *ControlSupervisor) Run(ctx context.Context) (*Control, error) {
	control, err := StartControl(s.Settings, s.Environment)
	if err != nil {
		return nil, err
	}
	logger := s.Environment.Telemetry.Log
	for {
		failure := control.awaitFailure(ctx)
		if failure == "" {
			return control, nil
		}
		logger.Error("the control instance has failed; opening it again", "cause", failure)
		control.Close()
		sleep.For(ctx, reopenDelay)
		var started bool
		control, started = startRepeatedly(ctx, logger, func() (*Control, error) {
			return StartControl(s.Settings, s.Environment)
		})
		if !started {
			return nil, nil
		}
	}
}

// startRepeatedly calls start until it succeeds, with a pause after each failure. It
// reports whether an instance was started before ctx ended.
func startRepeatedly[T any](ctx context.Context, logger *log.Logger, start func() (*T, error)) (*T, bool) {
	for failures := 1; ctx.Err() == nil; failures++ {
		started, err := start()
		if err == nil {
			return started, true
		}
		if failures%failuresPerLogLine == 1 {
			logger.Error("cannot start the control instance; retrying", "err", err.Error(), "failures", failures)
		}
		sleep.For(ctx, reopenDelay)
	}
	return nil, false
}
