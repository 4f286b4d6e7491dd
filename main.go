// Command cactusbay runs the processes of a router fleet for prepaid token budgets
// and the tools of its operators.
package main

import (
	_ "embed"
	"os"

	"github.com/cactusbay/cactusbay/internal/cmd"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/platform"
)

//go:embed version.txt
var version string

func main() {
	dialects := map[string]process.Dialect{platform.Name: platform.Dialect{}}
	os.Exit(cmd.Main(os.Args, version, dialects))
}
