package cmd

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// cmdFake runs a fake of an external system that the fleet uses.
var cmdFake = &cli.Command{
	Name:  "fake",
	Usage: "runs a fake external system for experiments and tests",
	Commands: []*cli.Command{
		{
			Name:   "engine",
			Usage:  "runs a fake model engine",
			Flags:  []cli.Flag{settingsFlag},
			Action: runFake(newFakeEngine),
		},
		{
			Name:   "platform",
			Usage:  "runs a fake platform that serves the list of instances",
			Flags:  []cli.Flag{settingsFlag},
			Action: runFake(func(f *settings.Fake) http.Handler { return (&fake.Platform{Lag: f.Lag.Or(0)}).Handler() }),
		},
		{
			Name:   "service",
			Usage:  "runs a fake plain service",
			Flags:  []cli.Flag{settingsFlag},
			Action: runFake(func(*settings.Fake) http.Handler { return (&fake.Service{}).Handler() }),
		},
	},
}

func runFake(handler func(*settings.Fake) http.Handler) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		f, err := settings.LoadFake(command.String("settings"))
		if err != nil {
			return usageError(err)
		}
		running, err := process.StartFake(transport.TCP{}, f.Address, handler(f))
		if err != nil {
			return err
		}
		<-ctx.Done()
		running.Close()
		return nil
	}
}

func newFakeEngine(f *settings.Fake) http.Handler {
	engine := &fake.Engine{
		StepTime:     f.StepTime.Or(0),
		StepGrowth:   f.StepGrowth.Or(0),
		PromptTime:   f.PromptTime.Or(0),
		MaxBatch:     f.MaxBatch,
		CacheBlocks:  f.CacheBlocks,
		KeptAttempts: f.KeptAttempts,
		KeepsRunning: f.KeepsRunning,
		LoadLag:      f.LoadLag.Or(0),
	}
	return engine.Handler()
}
