// Command cactusbay runs every role of the router fleet.
package main

import (
	_ "embed"
	"os"

	"github.com/cactusbay/cactusbay/internal/cmd"
)

//go:embed version.txt
var version string

func main() {
	os.Exit(cmd.Main(os.Args, version))
}
