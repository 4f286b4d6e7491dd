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

// operatorFlags say which control instance a command calls and with what key.
func operatorFlags(extra ...cli.Flag) []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "control", Value: "127.0.0.1:8090", Usage: "operators' `ADDRESS` of a control instance", Sources: cli.EnvVars("CACTUSBAY_CONTROL")},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator's key; else CACTUSBAY_OPERATOR_KEY"},
		&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
	}
	return append(flags, extra...)
}

// localFlag asks for an answer that no majority has confirmed.
func localFlag() cli.Flag {
	return &cli.BoolFlag{Name: "local", Usage: "print what this instance knows, also when it is cut off"}
}

func idFlag(what string) cli.Flag {
	return &cli.StringFlag{Name: "id", Usage: "`ID` of the " + what + "; send the same one again after a lost answer"}
}

// idOrRandom returns the id of the command line or a new one.
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

// operatorError maps a failed call to an exit code.
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

// printResult prints value as JSON, or text as it is.
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

// newBoundedClient returns a client of the control instance that the command line names
// and a context that bounds the calls.
func newBoundedClient(ctx context.Context, command *cli.Command) (context.Context, *operator.Client, context.CancelFunc, error) {
	client, err := newClient(command)
	if err != nil {
		return nil, nil, nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
	return callCtx, client, cancel, nil
}
