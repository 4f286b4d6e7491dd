package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/pkg/operator"
)

// cmdConfig shows and patches the versioned configuration.
var cmdConfig = &cli.Command{
	Name:  "config",
	Usage: "shows and patches the versioned configuration",
	Commands: []*cli.Command{
		{
			Name:   "show",
			Usage:  "prints the current configuration or a given version of it",
			Flags:  operatorFlags(localFlag(), &cli.Uint64Flag{Name: "version", Usage: "version `NUMBER`; the current one by default"}),
			Action: operatorAction("", showConfig),
		},
		{
			Name:  "history",
			Usage: "prints the recorded configuration changes, newest last",
			Flags: operatorFlags(
				&cli.Uint64Flag{Name: "until", Usage: "last version `NUMBER`; the current one by default"},
			),
			Action: operatorAction("", showHistory),
		},
		{
			Name:  "diff",
			Usage: "prints the merge patch between two versions",
			Flags: operatorFlags(
				&cli.Uint64Flag{Name: "from", Usage: "version `NUMBER`; by default the one before --to"},
				&cli.Uint64Flag{Name: "to", Usage: "version `NUMBER`; the current one by default"},
			),
			Action: operatorAction("", showDiff),
		},
		{
			Name:      "patch",
			Usage:     "applies a JSON merge patch (RFC 7396) made against a version",
			ArgsUsage: "FILE|-",
			Flags:     operatorFlags(idFlag("patch"), &cli.Uint64Flag{Name: "against", Required: true, Usage: "version `NUMBER` that the patch was made against"}),
			Action:    operatorAction("patch file, or - for standard input", patchConfig),
		},
	},
}

func showConfig(ctx context.Context, call operatorCall) error {
	configuration, err := call.client.Configuration(ctx, call.command.Uint64("version"))
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(call.command, configuration, "")
}

func patchConfig(ctx context.Context, call operatorCall) error {
	patch, err := readInput(call.argument)
	if err != nil {
		return usageError(err)
	}
	id := idOrRandom(call.command)
	accepted, err := call.client.Patch(ctx, operator.Patch{ID: id, Against: call.command.Uint64("against"), Patch: patch})
	if err != nil {
		return operatorError(err, id)
	}
	return printResult(call.command, accepted, fmt.Sprintf("version %d accepted", accepted.Version))
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, errors.Newf("read standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Newf("read patch: %w", err)
	}
	return data, nil
}
