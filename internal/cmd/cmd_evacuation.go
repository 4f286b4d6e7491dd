package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/pkg/operator"
)

// cmdEvacuation begins, ends and lists evacuations of failure domains.
var cmdEvacuation = &cli.Command{
	Name:  "evacuation",
	Usage: "begins, ends and lists evacuations of failure domains",
	Commands: []*cli.Command{
		{
			Name:      "start",
			Usage:     "stops sending new requests to the backend servers of a failure domain",
			ArgsUsage: "FAILURE_DOMAIN",
			Flags:     operatorFlags(),
			Action:    changeEvacuation("evacuated", (*operator.Client).BeginEvacuation),
		},
		{
			Name:      "end",
			Usage:     "resumes sending new requests to the backend servers of a failure domain",
			ArgsUsage: "FAILURE_DOMAIN",
			Flags:     operatorFlags(),
			Action:    changeEvacuation("not evacuated", (*operator.Client).EndEvacuation),
		},
		{
			Name:   "list",
			Usage:  "prints the failure domains, and since when they are evacuated",
			Flags:  operatorFlags(),
			Action: operatorAction("", listFailureDomains),
		},
	},
}

// changeEvacuation returns the action of an order, after which the failure domain is in the
// given state. The order can be repeated without an id, because it changes nothing the
// second time.
func changeEvacuation(state string, order func(*operator.Client, context.Context, string) (operator.PatchResult, error)) cli.ActionFunc {
	return operatorAction("failure domain", func(ctx context.Context, call operatorCall) error {
		result, err := order(call.client, ctx, call.argument)
		if errors.Is(err, operator.ErrUnknownFailureDomain) {
			return usageError(errors.Newf("%w: see cactusbay evacuation list", err))
		}
		if err != nil {
			return operatorError(err, "")
		}
		return printResult(call.command, result, fmt.Sprintf("%s is %s in version %d", call.argument, state, result.Version))
	})
}

func listFailureDomains(ctx context.Context, call operatorCall) error {
	domains, err := call.client.FailureDomains(ctx)
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(call.command, domains, failureDomainTable(domains))
}

func failureDomainTable(domains []operator.FailureDomain) string {
	lines := []string{fmt.Sprintf("%-20s %-8s %-14s %-8s %s", "FAILURE DOMAIN", "SERVERS", "STATE", "VERSION", "SINCE")}
	for _, domain := range domains {
		state, version := "active", ""
		if domain.Evacuated {
			state = "evacuated"
		}
		if domain.Version > 0 {
			version = fmt.Sprint(domain.Version)
		}
		line := fmt.Sprintf("%-20s %-8d %-14s %-8s %s", domain.Name, domain.BackendServers, state, version, domain.Since)
		lines = append(lines, strings.TrimRight(line, " "))
	}
	return strings.Join(lines, "\n")
}
