package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/pkg/operator"
)

// cmdServer lists, drains and restores backend servers.
var cmdServer = &cli.Command{
	Name:  "server",
	Usage: "lists, drains and restores backend servers",
	Commands: []*cli.Command{
		{
			Name:   "list",
			Usage:  "prints the backend servers",
			Flags:  operatorFlags(),
			Action: operatorAction("", listServers),
		},
		{
			Name:      "drain",
			Usage:     "stops sending new requests to a backend server",
			ArgsUsage: "SERVER",
			Flags:     operatorFlags(idFlag("change")),
			Action:    setServerState("leaving"),
		},
		{
			Name:      "restore",
			Usage:     "resumes sending new requests to a backend server",
			ArgsUsage: "SERVER",
			Flags:     operatorFlags(idFlag("change")),
			Action:    setServerState("active"),
		},
	},
}

// serverRow is a backend server as printed by the list command.
type serverRow struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Kind          string `json:"kind"`
	State         string `json:"state"`
}

// serversDocument is the part of the configuration document that lists the backend
// servers.
type serversDocument struct {
	BackendServers map[string]serverRow `json:"backend_servers"`
}

func listServers(ctx context.Context, call operatorCall) error {
	servers, _, err := readServers(ctx, call.client)
	if err != nil {
		return operatorError(err, "")
	}
	return printResult(call.command, servers, serverTable(servers))
}

// readServers returns the backend servers of the current configuration by name, and
// the version of the configuration.
func readServers(ctx context.Context, client *operator.Client) (map[string]serverRow, uint64, error) {
	configuration, err := client.Configuration(ctx, 0)
	if err != nil {
		return nil, 0, err
	}
	var document serversDocument
	err = json.Unmarshal(configuration.Document, &document)
	if err != nil {
		return nil, 0, errors.Newf("decode configuration: %w", err)
	}
	for name, server := range document.BackendServers {
		if server.State == "" {
			server.State = "active"
			document.BackendServers[name] = server
		}
	}
	return document.BackendServers, configuration.Version, nil
}

func serverTable(servers map[string]serverRow) string {
	names := make([]string, 0, len(servers))
	for name := range servers {
		names = append(names, name)
	}
	sort.Strings(names)
	lines := []string{fmt.Sprintf("%-20s %-8s %-10s %-8s %s", "NAME", "KIND", "DOMAIN", "STATE", "ADDRESS")}
	for _, name := range names {
		server := servers[name]
		lines = append(lines, fmt.Sprintf("%-20s %-8s %-10s %-8s %s", name, server.Kind, server.FailureDomain, server.State, server.Address))
	}
	return strings.Join(lines, "\n")
}

func setServerState(state string) cli.ActionFunc {
	return operatorAction("backend server", func(ctx context.Context, call operatorCall) error {
		name := call.argument
		servers, version, err := readServers(ctx, call.client)
		if err != nil {
			return operatorError(err, "")
		}
		_, found := servers[name]
		if !found {
			return usageError(errors.Newf("no backend server is named %q: see cactusbay server list", name))
		}
		id := idOrRandom(call.command)
		accepted, err := call.client.Patch(ctx, operator.Patch{ID: id, Against: version, Patch: statePatch(name, state)})
		if err != nil {
			return operatorError(err, id)
		}
		return printResult(call.command, accepted, fmt.Sprintf("%s is %s from version %d", name, state, accepted.Version))
	})
}

// statePatch returns the merge patch that sets the state of a backend server.
func statePatch(name, state string) []byte {
	patch := map[string]map[string]map[string]string{"backend_servers": {name: {"state": state}}}
	data, err := json.Marshal(patch)
	if err != nil {
		return nil
	}
	return data
}
