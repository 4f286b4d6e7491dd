package cmd

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/load"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// cmdLoad sends a mix of requests to an entry and compares the reports of such load
// runs.
var cmdLoad = &cli.Command{
	Name:  "load",
	Usage: "sends a mix of requests to an entry on this machine",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the load run"},
		&cli.StringFlag{Name: "target", Value: "http://127.0.0.1:8080", Usage: "`URL` of an entry on a loopback address"},
		&cli.StringFlag{Name: "report", Usage: "`FILE` for the JSON report; printed by default"},
	},
	Action: runLoad,
	Commands: []*cli.Command{
		{
			Name:      "report",
			Usage:     "compares reports of load runs in a table",
			ArgsUsage: "FILE...",
			Action:    runLoadReport,
		},
	},
}

func runLoad(ctx context.Context, command *cli.Command) error {
	if command.String("settings") == "" {
		return usageError(errors.New("--settings is missing: name the settings file of the load run"))
	}
	l, err := settings.ReadLoadRun(command.String("settings"))
	if err != nil {
		return usageError(err)
	}
	report, err := load.Run(ctx, load.Options{
		Settings: l,
		Target:   command.String("target"),
		HTTP:     transport.Client(transport.TCP{}),
		Progress: func(sent, ended int) {
			_, _ = fmt.Fprintf(command.Root().ErrWriter, "sent %d, ended %d\n", sent, ended)
		},
	})
	if err != nil {
		return usageError(err)
	}
	if command.String("report") != "" {
		return report.Write(command.String("report"))
	}
	encoder := json.NewEncoder(command.Root().Writer)
	encoder.SetIndent("", "  ")
	err = encoder.Encode(report)
	if err != nil {
		return errors.Newf("print report: %w", err)
	}
	return nil
}

func runLoadReport(_ context.Context, command *cli.Command) error {
	names := command.Args().Slice()
	if len(names) == 0 {
		return usageError(errors.New("name one report or more"))
	}
	var reports []*load.Report
	for _, name := range names {
		report, err := load.ReadReport(name)
		if err != nil {
			return usageError(err)
		}
		reports = append(reports, report)
	}
	return load.Compare(command.Root().Writer, names, reports)
}
