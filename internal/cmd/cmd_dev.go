package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
)

// cmdDev runs a development site in one process.
var cmdDev = &cli.Command{
	Name:  "dev",
	Usage: "runs a development site with fake backend servers in one process",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "`ADDRESS` of the entry; the other listeners use the ports 10 to 13 above it"},
		&cli.StringFlag{Name: "data", Usage: "`FOLDER` for durable state; a temporary folder by default"},
	},
	Action: runDev,
}

func runDev(ctx context.Context, command *cli.Command) error {
	addresses, err := process.DevAddressesFor(command.String("listen"))
	if err != nil {
		return usageError(err)
	}
	path, remove, err := dataFolder(command.String("data"))
	if err != nil {
		return err
	}
	defer remove()
	s := &settings.Settings{InstanceID: "dev", FailureDomain: "a"}
	environment, err := openEnvironment(s)
	if err != nil {
		return err
	}
	defer environment.Telemetry.Close()
	environment.Folder, err = disk.Open(path)
	if err != nil {
		return errors.Newf("open data folder: %w", err)
	}
	dev, err := process.StartDev(addresses, path, environment)
	if err != nil {
		return err
	}
	printDev(command, addresses)
	<-ctx.Done()
	shutdownCtx, stop := newShutdownContext(s)
	defer stop()
	dev.Shutdown(shutdownCtx)
	return nil
}

// dataFolder creates the folder at path, or a temporary one if path is empty.
// remove deletes the folder if it is temporary.
func dataFolder(path string) (folder string, remove func(), err error) {
	if path != "" {
		return path, func() {}, os.MkdirAll(path, 0o700)
	}
	folder, err = os.MkdirTemp("", "cactusbay-")
	if err != nil {
		return "", nil, errors.Newf("create temporary data folder: %w", err)
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}

func printDev(command *cli.Command, addresses process.DevAddresses) {
	_, _ = fmt.Fprintf(command.Root().Writer, `entry      http://%s
operators  http://%s   key %s
engine     http://%s   stand-in
service    http://%s   stand-in

curl -H 'Authorization: Bearer %s' -d '{"model":"demo","messages":[{"role":"user","content":"hello"}],"max_tokens":16}' http://%s/v1/chat/completions
`, addresses.Entry, addresses.Operator, process.DevOperatorKey, addresses.Engine, addresses.Service, process.DevKey, addresses.Entry)
}
