// Package cmd is the command line, a file for each subcommand.
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

// Exit codes.
const (
	// ExitOK means done.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a settings file is wrong.
	ExitUsage = 2
	// ExitConflict means that the configuration has changed meanwhile.
	ExitConflict = 3
	// ExitUnavailable means that the site did not answer: retry with the same
	// id.
	ExitUnavailable = 4
)

// exitError carries the exit code of a failed command.
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

// Main runs the command line and returns the exit code.
// Sites may speak one of the dialects, which are known by their names.
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

// notifyHangups takes SIGHUP, which ends a process that is not ready for it, from
// the first moment of an instance; the settings are read again once it runs. It
// returns nil for all other commands, which a hangup of the terminal ends.
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
		},
	}
}
