package cmd

import (
	"context"
	"os"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
)

// Keys in the metadata of the root command: the dialects by name, and the channel
// that receives hangup signals.
const (
	dialectsKey = "dialects"
	hangupsKey  = "hangups"
)

const (
	megabyte = 1 << 20
	// memoryLimitPercent is the percentage of the memory of the process that is
	// set as the Go runtime's soft memory limit, above which it collects garbage
	// more often.
	memoryLimitPercent = 70
)

// findDialect returns the dialect that the settings name.
func findDialect(command *cli.Command, s *settings.Settings) (process.Dialect, error) {
	dialects, _ := command.Root().Metadata[dialectsKey].(map[string]process.Dialect)
	dialect, found := dialects[s.Seeded.Dialect]
	if found {
		return dialect, nil
	}
	names := make([]string, 0, len(dialects))
	for name := range dialects {
		names = append(names, name)
	}
	slices.Sort(names)
	return nil, usageError(errors.Newf("seeded.dialect: %q is not known: write one of %s", s.Seeded.Dialect, strings.Join(names, ", ")))
}

func limitMemory(s *settings.Settings) {
	if s.Seeded.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Seeded.MemoryMB) * megabyte * memoryLimitPercent / 100)
	}
}

// watchSettings watches the settings file of the command until ctx ends. The
// channel receives the settings after each valid change.
func watchSettings(ctx context.Context, command *cli.Command, environment process.Environment) <-chan *settings.Settings {
	signals, _ := command.Root().Metadata[hangupsKey].(<-chan os.Signal)
	reloader := &settings.Reloader{Path: command.String("settings"), Signals: signals, Log: environment.Telemetry.Log}
	return reloader.Start(ctx)
}

func runGateway(ctx context.Context, command *cli.Command, s *settings.Settings, environment process.Environment) error {
	dialect, err := findDialect(command, s)
	if err != nil {
		return err
	}
	limitMemory(s)
	gateway, err := process.StartGateway(s, environment, dialect)
	if err != nil {
		return err
	}
	changes := watchSettings(ctx, command, environment)
	for ctx.Err() == nil {
		select {
		case changed := <-changes:
			gateway.SetSeeds(changed.Seeded.PeerAddresses())
		case <-ctx.Done():
		}
	}
	environment.Telemetry.Log.Info("shutting down; waiting for requests in progress", "running", gateway.Server.Running())
	shutdownCtx, stop := newShutdownContext(s)
	defer stop()
	gateway.Shutdown(shutdownCtx)
	environment.Telemetry.Log.Info("stopped")
	return nil
}

func runMember(ctx context.Context, command *cli.Command, s *settings.Settings, environment process.Environment) error {
	dialect, err := findDialect(command, s)
	if err != nil {
		return err
	}
	limitMemory(s)
	folder, err := disk.Open(s.DataFolder)
	if err != nil {
		return errors.Newf("open data folder: %w", err)
	}
	environment.Folder = folder
	supervisor := &process.Supervisor{
		Settings:    s,
		Environment: environment,
		Dialect:     dialect,
		Reloads:     watchSettings(ctx, command, environment),
	}
	return supervisor.Run(ctx, context.Background())
}
