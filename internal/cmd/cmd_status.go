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
	Action: operatorAction("", runStatus),
}

func runStatus(ctx context.Context, call operatorCall) error {
	status, err := call.client.Status(ctx)
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(call.command, status, "")
}
