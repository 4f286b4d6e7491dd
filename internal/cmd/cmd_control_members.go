package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/pkg/operator"
)

// controlMemberCommands show and change the members of the control group.
var controlMemberCommands = []*cli.Command{
	{
		Name:   "status",
		Usage:  "prints the members of the control group as known to one control instance",
		Flags:  operatorFlags(),
		Action: showControlMembers,
	},
	{
		Name:      "add",
		Usage:     "adds a control instance with an empty data folder; it becomes a voter once it has replicated the whole log",
		ArgsUsage: "INSTANCE_ID PEER_ADDRESS",
		Flags:     operatorFlags(),
		Action:    addControlMember,
	},
	{
		Name:      "remove",
		Usage:     "removes a control instance permanently; its id must not be used again",
		ArgsUsage: "INSTANCE_ID",
		Flags:     operatorFlags(),
		Action:    removeControlMember,
	},
}

func showControlMembers(ctx context.Context, command *cli.Command) error {
	return callAndPrintControlGroup(ctx, command, func(ctx context.Context, client *operator.Client) (operator.ControlGroup, error) {
		return client.ControlGroup(ctx)
	})
}

func addControlMember(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() != 2 {
		return usageError(errors.New("name the instance id and its peer address"))
	}
	id, address := command.Args().Get(0), command.Args().Get(1)
	return callAndPrintControlGroup(ctx, command, func(ctx context.Context, client *operator.Client) (operator.ControlGroup, error) {
		return client.AddControlMember(ctx, id, address)
	})
}

func removeControlMember(ctx context.Context, command *cli.Command) error {
	id, err := oneArgument(command, "control instance")
	if err != nil {
		return err
	}
	return callAndPrintControlGroup(ctx, command, func(ctx context.Context, client *operator.Client) (operator.ControlGroup, error) {
		return client.RemoveControlMember(ctx, id)
	})
}

// callAndPrintControlGroup makes a call and prints the control group that it
// returns.
func callAndPrintControlGroup(ctx context.Context, command *cli.Command, call func(context.Context, *operator.Client) (operator.ControlGroup, error)) error {
	ctx, client, cancel, err := newBoundedClient(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	group, err := call(ctx, client)
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(command, group, controlGroupText(group))
}

// controlGroupText returns the state of the group as seen by one instance,
// followed by one line per member.
func controlGroupText(group operator.ControlGroup) string {
	lines := []string{fmt.Sprintf("%s: %s in term %d, leader %q, committed %d, applied %d", group.ID, group.Role, group.Term, group.Leader, group.Committed, group.Applied)}
	if !group.Admitted {
		lines = append(lines, "this instance's data folder belongs to no group yet")
	}
	if group.Failure != "" {
		lines = append(lines, "failure: "+group.Failure)
	}
	for _, member := range group.Members {
		role := "voter"
		if member.Learner {
			role = "learner, not repaired yet"
		}
		lines = append(lines, fmt.Sprintf("%s %s %s, synced %d", member.ID, member.Address, role, member.Synced))
	}
	return strings.Join(lines, "\n")
}
