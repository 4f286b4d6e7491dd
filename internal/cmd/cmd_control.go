package cmd

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
)

// controlSettingsFlag is not marked as required because the subcommands of control
// work without it.
var controlSettingsFlag = &cli.StringFlag{
	Name:    "settings",
	Usage:   "JSON settings `FILE` of this process",
	Local:   true,
	Sources: cli.EnvVars(settingsVariable),
}

// cmdControl runs a control instance and manages the members of the control group.
var cmdControl = &cli.Command{
	Name:   "control",
	Usage:  "runs a control instance, which stores durable state",
	Flags:  []cli.Flag{controlSettingsFlag},
	Action: runControl,

	Commands: controlMemberCommands,
}

func runControl(ctx context.Context, command *cli.Command) error {
	if command.String("settings") == "" {
		return usageError(errors.New("--settings is missing: name the settings file"))
	}
	s, err := loadSettings(command, settings.RoleControl)
	if err != nil {
		return err
	}
	environment, err := openEnvironment(s)
	if err != nil {
		return err
	}
	defer environment.Telemetry.Close()
	if s.Seeded != nil {
		return runMember(ctx, command, s, environment)
	}
	folder, err := disk.Open(s.DataFolder)
	if err != nil {
		return errors.Newf("open data folder: %w", err)
	}
	environment.Folder = folder
	supervisor := &process.ControlSupervisor{Settings: s, Environment: environment}
	control, err := supervisor.Run(ctx)
	if err != nil || control == nil {
		return err
	}
	environment.Telemetry.Log.Info("shutting down; waiting for calls in progress")
	shutdownCtx, stop := newShutdownContext(s)
	defer stop()
	control.Shutdown(shutdownCtx)
	return nil
}
