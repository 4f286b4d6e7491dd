package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/pkg/operator"
)

func showHistory(ctx context.Context, command *cli.Command) error {
	ctx, client, cancel, err := newBoundedClient(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	history, err := client.History(ctx, command.Uint64("until"))
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(command, history, historyTable(history))
}

func historyTable(history operator.History) string {
	lines := []string{fmt.Sprintf("%-8s %-20s %-12s %-28s %s", "VERSION", "SUBMITTED", "OPERATOR", "ID", "PATCH")}
	for _, change := range history.Changes {
		lines = append(lines, fmt.Sprintf("%-8d %-20s %-12s %-28s %s", change.Version, change.SubmittedAt, change.Operator, change.PatchID, change.Patch))
	}
	return strings.Join(lines, "\n")
}

func showDiff(ctx context.Context, command *cli.Command) error {
	ctx, client, cancel, err := newBoundedClient(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	diff, err := client.Diff(ctx, command.Uint64("from"), command.Uint64("to"))
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(command, diff, "")
}
