// Command fleet2 runs one case of the second review: it starts the project's programs as
// separate processes on loopback addresses, with stand-ins for servers, platform, operator and
// clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
)

// exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario runs a case on a fleet and reports whether the rule held.
type scenario func(f *fleet, trouble bool) (held bool, err error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"behind":      runBehind,
	"in-place":    runInPlace,
	"invalid":     runInvalid,
	"poison":      runPoison,
	"innocent":    runInnocent,
	"leaving":     runLeaving,
	"unframed":    runUnframed,
	"stale-relay": runStaleRelay,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) == 4 && os.Args[1] == serverArgument {
		return serveUnframed(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: fleet2 SCENARIO RECORD")
		return exitFailed
	}
	runScenario, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario:", os.Args[1])
		return exitFailed
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	f.closeOnSignal()
	held, err := runScenario(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.log("the case could not run: %v", err)
		return exitFailed
	case !held:
		f.log("result: the rule was broken")
		return exitBroken
	}
	f.log("result: the rule held")
	return exitHeld
}
