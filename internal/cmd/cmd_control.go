package cmd

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
)

// cmdControl runs a control instance.
var cmdControl = &cli.Command{
	Name:   "control",
	Usage:  "runs a control instance, which keeps durable state",
	Flags:  []cli.Flag{settingsFlag},
	Action: runControl,
}

func runControl(ctx context.Context, command *cli.Command) error {
	s, err := loadSettings(command, settings.RoleControl)
	if err != nil {
		return err
	}
	environment, err := openEnvironment(s)
	if err != nil {
		return err
	}
	defer environment.Telemetry.Close()
	folder, err := disk.Open(s.DataFolder)
	if err != nil {
		return errors.Newf("open data folder: %w", err)
	}
	environment.Folder = folder
	control, err := process.StartControl(s, environment)
	if err != nil {
		return err
	}
	<-ctx.Done()
	environment.Telemetry.Log.Info("shutting down; calls in progress are finished first")
	limited, stop := untilSecondSignal(s)
	defer stop()
	control.Shutdown(limited)
	return nil
}
