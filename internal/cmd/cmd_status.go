package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

// cmdStatus prints the status of the site as known to a control instance.
var cmdStatus = &cli.Command{
	Name:   "status",
	Usage:  "prints a control instance's status",
	Flags:  operatorFlags(),
	Action: runStatus,
}

func runStatus(ctx context.Context, command *cli.Command) error {
	ctx, client, cancel, err := newBoundedClient(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(command, status, "")
}
