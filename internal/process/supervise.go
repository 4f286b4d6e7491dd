package process

import (
	"context"
	"time"

	"github.com/cactusbay/cactusbay/internal/roster"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// reopenDelay is the pause before a member is opened again after a failure,
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
	logger := s.Environment.Telemetry.Log
	for failures := 0; ctx.Err() == nil; {
		member, err := StartMember(s.Settings, s.Environment, s.Dialect)
		if err != nil {
			failures++
			if failures%failuresPerLogLine == 1 {
				logger.Error("cannot start the control instance; retrying", "err", err.Error(), "failures", failures)
			}
			sleep.For(ctx, reopenDelay)
			continue
		}
		failures = 0
		s.watch(ctx, shutdownCtx, member)
	}
	return nil
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
