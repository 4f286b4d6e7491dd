// Command latency measures requests through an entry and directly to a fake
// engine, and prints the time and resources that the entry and the ledger add.
package main

import (
	"fmt"
	"os"

	"github.com/cactusbay/cactusbay/internal/capacity"
)

func main() {
	err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	site, err := capacity.OpenSite()
	if err != nil {
		return err
	}
	defer site.Close()
	for _, callers := range []int{1, 64} {
		l, err := site.MeasureLatency(callers)
		if err != nil {
			return err
		}
		fmt.Printf("callers %d: direct median %v, p99 %v; through the entry median %v, p99 %v; added median %v, p99 %v; disk sync %v; %.0f requests/s on this machine, including callers and stand-in engine; added per request: %v processor time, %.0f allocations, %.0f KiB\n",
			callers, l.DirectMedian, l.DirectP99, l.PathMedian, l.PathP99, l.PathMedian-l.DirectMedian, l.PathP99-l.DirectP99, l.MeanSync, l.RequestsPerSecond, l.Processor, l.Allocations, l.AllocatedKiB)
	}
	return nil
}
