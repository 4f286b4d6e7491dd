package process

import (
	"context"
	"time"

	"github.com/cactusbay/cactusbay/internal/roster"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// reopenDelay is the time before a member with a failed disk tries again.
	reopenDelay         = 300 * time.Millisecond
	failurePollInterval = 100 * time.Millisecond
	failuresPerLogLine  = 10
)

// Supervisor runs the control instance of a seeded site: it opens the member
// again after a fault of its disk, and as a new member after the group retired
// it.
type Supervisor struct {
	Settings    *settings.Settings
	Environment Environment
	Dialect     Dialect
	// Reloads brings changed settings; nil means never.
	Reloads <-chan *settings.Settings
}

// Run serves until ctx ends and then shuts down within limited.
func (s *Supervisor) Run(ctx, shutdownCtx context.Context) error {
	logger := s.Environment.Telemetry.Log
	for failures := 0; ctx.Err() == nil; {
		member, err := StartMember(s.Settings, s.Environment, s.Dialect)
		if err != nil {
			failures++
			if failures%failuresPerLogLine == 1 {
				logger.Error("the control instance could not start; trying again", "err", err.Error(), "failures", failures)
			}
			sleep.For(ctx, reopenDelay)
			continue
		}
		failures = 0
		s.watch(ctx, shutdownCtx, member)
	}
	return nil
}

// watch waits for the end of a member.
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
			member.Close()
			err := roster.Erase(s.Environment.Folder)
			if err != nil {
				logger.Error("the folder of the retired member could not be emptied", "err", err.Error())
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
