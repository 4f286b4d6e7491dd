// Package cmd implements the command line, with one file per subcommand.
package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
)

// Exit codes of the command line.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed for a reason without an exit code
	// of its own.
	ExitFailed = 1
	// ExitUsage means that the command line or a settings file is wrong.
	ExitUsage = 2
	// ExitConflict means that the configuration has changed since the version that
	// a patch was made against.
	ExitConflict = 3
	// ExitUnavailable means that the site did not respond or was unavailable, so
	// that it is unknown whether a change was applied: repeat the command with the
	// same id.
	ExitUnavailable = 4
)

// exitError is an error with the exit code of the failed command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string {
	return e.err.Error()
}

func (e *exitError) Unwrap() error {
	return e.err
}

func usageError(err error) error {
	return &exitError{code: ExitUsage, err: err}
}

// Main runs the command line and returns the exit code. arguments starts with the
// program name. dialects holds the dialects that the settings of a seeded site can
// name.
func Main(arguments []string, version string, dialects map[string]process.Dialect) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := root(strings.TrimSpace(version))
	command.Metadata = map[string]any{dialectsKey: dialects, hangupsKey: notifyHangups(arguments)}
	err := command.Run(ctx, arguments)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "cactusbay: "+err.Error())
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

// notifyHangups returns a channel that receives SIGHUP, the signal to reload the
// settings of an instance. It is set up before the instance starts, because an
// unhandled SIGHUP ends the process. For all other commands it returns nil, so that
// they end when their terminal is closed.
func notifyHangups(arguments []string) <-chan os.Signal {
	if len(arguments) < 2 || arguments[1] != settings.RoleEntry && arguments[1] != settings.RoleControl {
		return nil
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

func root(version string) *cli.Command {
	return &cli.Command{
		Name:                  "cactusbay",
		Usage:                 "router fleet for prepaid token budgets",
		Version:               version,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usageError(err)
		},
		Commands: []*cli.Command{
			cmdVersion(version),
			cmdCheckSettings,
			cmdEntry,
			cmdControl,
			cmdDev,
			cmdFake,
			cmdLoad,
			cmdStatus,
			cmdBudget,
			cmdConfig,
			cmdServer,
			cmdEvacuation,
			cmdExplain,
		},
	}
}
