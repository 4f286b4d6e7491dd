package cmd

import (
	"context"
	"os"
	"os/signal"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/observe"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// settingsFlag names the settings file of a process.
var settingsFlag = &cli.StringFlag{
	Name:     "settings",
	Usage:    "JSON settings `FILE` of this process",
	Required: true,
	Sources:  cli.EnvVars(settingsVariable),
}

// settingsVariable is the environment variable that names the settings file if the
// flag is not set.
const settingsVariable = "CACTUSBAY_CONFIG"

// loadSettings reads the settings file of the command and checks that it is for
// the given role.
func loadSettings(command *cli.Command, role string) (*settings.Settings, error) {
	path := command.String("settings")
	s, err := settings.Load(path)
	if err != nil {
		return nil, usageError(err)
	}
	if s.Role != role {
		return nil, usageError(errors.Newf("%s has the role %q: run cactusbay %s", path, s.Role, s.Role))
	}
	return s, nil
}

// openEnvironment returns the environment of a process, without a data folder. The
// caller closes its telemetry.
func openEnvironment(s *settings.Settings) (process.Environment, error) {
	telemetry, err := observe.New(s, logOutput(s))
	if err != nil {
		return process.Environment{}, errors.Newf("open telemetry: %w", err)
	}
	return process.Environment{
		Network:   transport.TCP{},
		Telemetry: telemetry,
		Check:     &invariant.Checker{Log: telemetry.Log, Scope: telemetry.Scope},
	}, nil
}

// logOutput returns the output of the log: standard output on a seeded site, whose
// platform collects it there, and standard error otherwise.
func logOutput(s *settings.Settings) *os.File {
	if s.Seeded != nil {
		return os.Stdout
	}
	return os.Stderr
}

// newShutdownContext returns a context for the graceful shutdown. It ends at the
// next interrupt from a terminal, or after the shutdown limit in the settings. A
// repeated SIGTERM changes nothing, because a supervisor may send several.
func newShutdownContext(s *settings.Settings) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	limit := s.Shutdown.Limit.Or(0)
	if limit == 0 {
		return ctx, stop
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	return limited, func() {
		cancel()
		stop()
	}
}
