package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/cactusbay/cactusbay/pkg/operator"
)

func showHistory(ctx context.Context, call operatorCall) error {
	history, err := call.client.History(ctx, call.command.Uint64("until"))
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(call.command, history, historyTable(history))
}

func historyTable(history operator.History) string {
	lines := []string{fmt.Sprintf("%-8s %-20s %-12s %-28s %s", "VERSION", "SUBMITTED", "OPERATOR", "ID", "PATCH")}
	for _, change := range history.Changes {
		lines = append(lines, fmt.Sprintf("%-8d %-20s %-12s %-28s %s", change.Version, change.SubmittedAt, change.Operator, change.PatchID, change.Patch))
	}
	return strings.Join(lines, "\n")
}

func showDiff(ctx context.Context, call operatorCall) error {
	diff, err := call.client.Diff(ctx, call.command.Uint64("from"), call.command.Uint64("to"))
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(call.command, diff, "")
}
