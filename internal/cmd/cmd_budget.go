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
			Action:    showBudget,
		},
		{
			Name:      "deposit",
			Usage:     "adds prepaid tokens to a workspace",
			ArgsUsage: "WORKSPACE",
			Flags:     operatorFlags(idFlag("deposit"), &cli.Int64Flag{Name: "tokens", Required: true, Usage: "`TOKENS` to add"}, &cli.StringFlag{Name: "failure-domain", Usage: "failure `DOMAIN` whose ledger accepts the tokens, even while it cannot reach the control group"}),
			Action:    deposit,
		},
		{
			Name:      "release",
			Usage:     "returns the in-doubt tokens of a lost ledger to a workspace",
			ArgsUsage: "WORKSPACE",
			Flags:     operatorFlags(idFlag("release"), &cli.StringFlag{Name: "epoch", Required: true, Usage: "closed ledger `EPOCH`, as printed by the status command"}),
			Action:    release,
		},
		{
			Name:      "close-epoch",
			Usage:     "closes a ledger epoch whose disk is lost; its unspent tokens stay in doubt",
			ArgsUsage: "EPOCH",
			Flags:     operatorFlags(),
			Action:    closeEpoch,
		},
	},
}

func showBudget(ctx context.Context, command *cli.Command) error {
	workspace, err := oneArgument(command, "workspace")
	if err != nil {
		return err
	}
	ctx, client, cancel, err := newBoundedClient(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	budget, err := client.Budget(ctx, workspace)
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(command, budget, "")
}

func deposit(ctx context.Context, command *cli.Command) error {
	workspace, err := oneArgument(command, "workspace")
	if err != nil {
		return err
	}
	tokens := command.Int64("tokens")
	if tokens <= 0 {
		return usageError(errors.New("--tokens must be above zero"))
	}
	ctx, client, cancel, err := newBoundedClient(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	id := idOrRandom(command)
	result, err := client.Deposit(ctx, operator.Deposit{ID: id, Workspace: workspace, Tokens: tokens, FailureDomain: command.String("failure-domain")})
	if err != nil {
		return operatorError(err, id)
	}
	return printResult(command, result, fmt.Sprintf("deposited %d tokens", result.Tokens))
}

func release(ctx context.Context, command *cli.Command) error {
	workspace, err := oneArgument(command, "workspace")
	if err != nil {
		return err
	}
	ctx, client, cancel, err := newBoundedClient(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	id := idOrRandom(command)
	result, err := client.Release(ctx, operator.Release{ID: id, Epoch: command.String("epoch"), Workspace: workspace})
	if err != nil {
		return operatorError(err, id)
	}
	return printResult(command, result, fmt.Sprintf("released %d tokens", result.Tokens))
}

func closeEpoch(ctx context.Context, command *cli.Command) error {
	epoch, err := oneArgument(command, "epoch")
	if err != nil {
		return err
	}
	ctx, client, cancel, err := newBoundedClient(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	err = client.CloseEpoch(ctx, epoch)
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(command, map[string]string{"epoch": epoch}, "closed "+epoch)
}
