// Command capacity measures the costs per request, budget, configuration change
// and instance that docs/CAPACITY.md uses, prints them and writes them to a JSON
// file.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/cactusbay/cactusbay/internal/capacity"
)

const fileMode = 0o644

func main() {
	output := flag.String("output", "docs/capacity.json", "file to write the report to")
	commit := flag.String("commit", "", "commit id to record in the report")
	only := flag.String("only", "", "name of the only measurement to run, as printed in its progress line")
	flag.Parse()
	printed := 0
	report, err := capacity.Measure(*only, func(step string, took time.Duration, report *capacity.Report) {
		fmt.Printf("%s: %v\n", step, took.Round(time.Millisecond))
		for _, slope := range report.Slopes[printed:] {
			fmt.Printf("%-28s %12.5g +- %-10.3g %s per %s, from %.5g, r2 %.4f\n", slope.Name, slope.Slope, slope.Error, slope.Unit, slope.Per, slope.Intercept, slope.R2)
		}
		printed = len(report.Slopes)
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	report.Commit = *commit
	report.Command = "make capacity"
	data, err := json.MarshalIndent(report, "", "  ")
	if err == nil {
		err = os.WriteFile(*output, append(data, '\n'), fileMode)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
