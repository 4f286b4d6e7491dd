package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// cmdVersion returns the command that prints version.
func cmdVersion(version string) *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "prints the version",
		Action: func(_ context.Context, command *cli.Command) error {
			_, err := fmt.Fprintln(command.Root().Writer, version)
			return err
		},
	}
}
