package cmd

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/settings"
)

// cmdCheckSettings validates settings files without starting a process.
var cmdCheckSettings = &cli.Command{
	Name:      "check-settings",
	Usage:     "validates settings files and prints every fault",
	ArgsUsage: "FILE...",
	Action:    checkSettings,
}

func checkSettings(_ context.Context, command *cli.Command) error {
	if command.Args().Len() == 0 {
		return usageError(errors.New("name a settings file"))
	}
	for _, path := range command.Args().Slice() {
		_, err := settings.Load(path)
		if err != nil {
			return usageError(err)
		}
		_, err = fmt.Fprintf(command.Root().Writer, "%s: ok\n", path)
		if err != nil {
			return errors.Newf("print result: %w", err)
		}
	}
	return nil
}
