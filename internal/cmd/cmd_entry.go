package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
)

// cmdEntry runs an entry instance.
var cmdEntry = &cli.Command{
	Name:   "entry",
	Usage:  "runs an entry instance, which serves callers",
	Flags:  []cli.Flag{settingsFlag},
	Action: runEntry,
}

func runEntry(ctx context.Context, command *cli.Command) error {
	s, err := loadSettings(command, settings.RoleEntry)
	if err != nil {
		return err
	}
	environment, err := openEnvironment(s)
	if err != nil {
		return err
	}
	defer environment.Telemetry.Close()
	if s.Seeded != nil {
		return runGateway(ctx, command, s, environment)
	}
	entry, err := process.StartEntry(s, environment)
	if err != nil {
		return err
	}
	<-ctx.Done()
	environment.Telemetry.Log.Info("shutting down; waiting for requests in progress", "running", entry.Server.Running())
	shutdownCtx, stop := newShutdownContext(s)
	defer stop()
	entry.Shutdown(shutdownCtx)
	return nil
}
