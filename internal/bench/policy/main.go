// Command policy prints a table that compares routing and admission policies in
// the scenarios of internal/bench.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cactusbay/cactusbay/internal/admit"
	"github.com/cactusbay/cactusbay/internal/bench"
)

const seed = 1

func main() {
	only := flag.String("scenario", "", "print only scenarios whose names start with this prefix")
	policy := flag.String("policy", "", "print only policies whose names start with this prefix")
	flag.Parse()
	capacity := bench.Capacity(seed)
	fmt.Printf("capacity of the modelled engines: %.1f requests/s; seed %d\n", capacity, seed)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "scenario\tpolicy\tfirst p95\tinteractive first p95\tgap p95\tgoodput tok/s\tinteractive in time\tstandard\tbatch\tbatch refused\tadded load")
	policies := bench.Policies()
	for _, scenario := range bench.Scenarios() {
		for _, name := range []string{"lowest cost", "least reported", "random", "round robin"} {
			if !strings.HasPrefix(scenario.Name, *only) || !strings.HasPrefix(name, *policy) {
				continue
			}
			res := bench.Run(scenario, policies[name], capacity, seed)
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\n",
				scenario.Name, name, milliseconds(res.FirstTokenP95()), milliseconds(res.InteractiveFirstTokenP95()), milliseconds(res.GapP95()), res.Goodput(),
				100*res.InTime(admit.Interactive), 100*res.InTime(admit.Standard), 100*res.InTime(admit.Batch), 100*res.Refused(admit.Batch), 100*res.AddedLoad())
		}
	}
	_ = w.Flush()
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%d ms", d.Milliseconds())
}
