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
		Action: operatorAction("", showControlMembers),
	},
	{
		Name:      "add",
		Usage:     "adds a control instance with an empty data folder; it becomes a voter once it has replicated the whole log",
		ArgsUsage: "INSTANCE_ID PEER_ADDRESS",
		Flags:     operatorFlags(),
		Action:    operatorAction("", addControlMember),
	},
	{
		Name:      "remove",
		Usage:     "removes a control instance permanently; its id must not be used again",
		ArgsUsage: "INSTANCE_ID",
		Flags:     operatorFlags(),
		Action:    operatorAction("control instance", removeControlMember),
	},
}

func showControlMembers(ctx context.Context, call operatorCall) error {
	group, err := call.client.ControlGroup(ctx)
	return printControlGroup(call, group, err)
}

func addControlMember(ctx context.Context, call operatorCall) error {
	if call.command.Args().Len() != 2 {
		return usageError(errors.New("name the instance id and its peer address"))
	}
	id, address := call.command.Args().Get(0), call.command.Args().Get(1)
	group, err := call.client.AddControlMember(ctx, id, address)
	return printControlGroup(call, group, err)
}

func removeControlMember(ctx context.Context, call operatorCall) error {
	group, err := call.client.RemoveControlMember(ctx, call.argument)
	return printControlGroup(call, group, err)
}

// printControlGroup prints the control group that a call returned, or returns the
// error of the call.
func printControlGroup(call operatorCall, group operator.ControlGroup, err error) error {
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(call.command, group, controlGroupText(group))
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
