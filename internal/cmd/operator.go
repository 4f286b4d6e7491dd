package cmd

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/pkg/operator"
)

const operatorTimeout = 10 * time.Second

// operatorFlags returns the flags of commands that call a control instance: its
// address, the key and the output format, followed by extra.
func operatorFlags(extra ...cli.Flag) []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "control", Value: "127.0.0.1:8090", Usage: "`ADDRESS` at which a control instance serves operators", Sources: cli.EnvVars("CACTUSBAY_CONTROL")},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator's key; the environment variable CACTUSBAY_OPERATOR_KEY by default"},
		&cli.StringFlag{Name: "output", Value: "text", Usage: "output format: text or json"},
	}
	return append(flags, extra...)
}

// localFlag returns the flag that requests a response without confirmation by a
// majority of the control group.
func localFlag() cli.Flag {
	return &cli.BoolFlag{Name: "local", Usage: "print what this instance knows, even if it cannot reach the control group"}
}

func idFlag(what string) cli.Flag {
	return &cli.StringFlag{Name: "id", Usage: "`ID` of the " + what + "; use the same one to repeat the command after a lost response"}
}

// idOrRandom returns the id from the command line, or a random one.
func idOrRandom(command *cli.Command) string {
	id := command.String("id")
	if id == "" {
		id = rand.Text()
	}
	return id
}

func newClient(command *cli.Command) (*operator.Client, error) {
	output := command.String("output")
	if output != "text" && output != "json" {
		return nil, usageError(errors.New("--output must be text or json"))
	}
	secret := &settings.Secret{Environment: "CACTUSBAY_OPERATOR_KEY"}
	if command.String("key-file") != "" {
		secret = &settings.Secret{File: command.String("key-file")}
	}
	key, err := secret.Read()
	if err != nil {
		return nil, usageError(err)
	}
	client := &operator.Client{
		Address: command.String("control"),
		Key:     key,
		HTTP:    &http.Client{Timeout: operatorTimeout},
		Local:   command.Bool("local"),
	}
	return client, nil
}

// operatorError adds the exit code to the error of a failed call. id is the id of
// the change, if there is one, with which the command can be repeated.
func operatorError(err error, id string) error {
	if err == nil {
		return nil
	}
	var problem *operator.Problem
	if !errors.As(err, &problem) {
		return &exitError{code: ExitUnavailable, err: withRetryHint(err, id)}
	}
	if problem.Code == "conflict" {
		return &exitError{code: ExitConflict, err: err}
	}
	if problem.Status == http.StatusServiceUnavailable {
		return &exitError{code: ExitUnavailable, err: withRetryHint(err, id)}
	}
	return err
}

func withRetryHint(err error, id string) error {
	if id == "" {
		return err
	}
	return errors.Newf("%w; it is unclear whether it was applied: repeat with --id %s", err, id)
}

// printResult prints text, or value as JSON if the output format is json or text is
// empty.
func printResult(command *cli.Command, value any, text string) error {
	writer := command.Root().Writer
	if command.String("output") != "json" && text != "" {
		_, err := fmt.Fprintln(writer, text)
		return err
	}
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Newf("encode result: %w", err)
	}
	var indented bytes.Buffer
	err = json.Indent(&indented, data, "", "  ")
	if err != nil {
		return errors.Newf("indent result: %w", err)
	}
	_, err = fmt.Fprintln(writer, indented.String())
	return err
}

func oneArgument(command *cli.Command, what string) (string, error) {
	if command.Args().Len() != 1 {
		return "", usageError(errors.Newf("name one %s", what))
	}
	return command.Args().First(), nil
}

// operatorCall is a command that calls the operator API.
type operatorCall struct {
	command *cli.Command
	client  *operator.Client
	// argument is the command's only argument, if it takes one.
	argument string
}

// operatorAction returns an action that runs a command with a client for the control
// instance named on the command line, and limits its calls to operatorTimeout. argument
// says what the only argument names; if it is empty, the command takes none.
func operatorAction(argument string, run func(context.Context, operatorCall) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		call := operatorCall{command: command}
		var err error
		if argument != "" {
			call.argument, err = oneArgument(command, argument)
		}
		if err != nil {
			return err
		}
		call.client, err = newClient(command)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		return run(ctx, call)
	}
}
