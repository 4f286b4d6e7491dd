package cmd

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/pkg/operator"
)

// cmdBudget shows and changes the prepaid budgets of workspaces.
var cmdBudget = &cli.Command{
	Name:  "budget",
	Usage: "shows and changes prepaid budgets",
	Commands: []*cli.Command{
		{
			Name:      "show",
			Usage:     "prints a workspace's budget",
			ArgsUsage: "WORKSPACE",
			Flags:     operatorFlags(localFlag()),
			Action:    operatorAction("workspace", showBudget),
		},
		{
			Name:      "deposit",
			Usage:     "adds prepaid tokens to a workspace",
			ArgsUsage: "WORKSPACE",
			Flags:     operatorFlags(idFlag("deposit"), &cli.Int64Flag{Name: "tokens", Required: true, Usage: "`TOKENS` to add"}, &cli.StringFlag{Name: "failure-domain", Usage: "failure `DOMAIN` whose ledger accepts the tokens, even while it cannot reach the control group"}),
			Action:    operatorAction("workspace", deposit),
		},
		{
			Name:      "release",
			Usage:     "returns the in-doubt tokens of a lost ledger to a workspace",
			ArgsUsage: "WORKSPACE",
			Flags:     operatorFlags(idFlag("release"), &cli.StringFlag{Name: "epoch", Required: true, Usage: "closed ledger `EPOCH`, as printed by the status command"}),
			Action:    operatorAction("workspace", release),
		},
		{
			Name:      "close-epoch",
			Usage:     "closes a ledger epoch whose disk is lost; its unspent tokens stay in doubt",
			ArgsUsage: "EPOCH",
			Flags:     operatorFlags(),
			Action:    operatorAction("epoch", closeEpoch),
		},
	},
}

func showBudget(ctx context.Context, call operatorCall) error {
	budget, err := call.client.Budget(ctx, call.argument)
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(call.command, budget, "")
}

func deposit(ctx context.Context, call operatorCall) error {
	tokens := call.command.Int64("tokens")
	if tokens <= 0 {
		return usageError(errors.New("--tokens must be above zero"))
	}
	id := idOrRandom(call.command)
	result, err := call.client.Deposit(ctx, operator.Deposit{ID: id, Workspace: call.argument, Tokens: tokens, FailureDomain: call.command.String("failure-domain")})
	if err != nil {
		return operatorError(err, id)
	}
	return printResult(call.command, result, fmt.Sprintf("deposited %d tokens", result.Tokens))
}

func release(ctx context.Context, call operatorCall) error {
	id := idOrRandom(call.command)
	result, err := call.client.Release(ctx, operator.Release{ID: id, Epoch: call.command.String("epoch"), Workspace: call.argument})
	if err != nil {
		return operatorError(err, id)
	}
	return printResult(call.command, result, fmt.Sprintf("released %d tokens", result.Tokens))
}

func closeEpoch(ctx context.Context, call operatorCall) error {
	err := call.client.CloseEpoch(ctx, call.argument)
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(call.command, map[string]string{"epoch": call.argument}, "closed "+call.argument)
}
