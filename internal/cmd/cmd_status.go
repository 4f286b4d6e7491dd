package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

// cmdStatus prints what a control instance knows of the site.
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
