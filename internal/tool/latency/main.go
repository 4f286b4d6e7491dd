// Command latency prints the time that the path adds to a direct call.
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
		fmt.Printf("callers %d: direct median %v, 99 in 100 %v; path median %v, 99 in 100 %v; added median %v, 99 in 100 %v; disk sync %v; %.0f requests/s on this machine, caller and stand-in included; %v processor time, %.0f allocations, %.0f KiB a request added\n",
			callers, l.DirectMedian, l.DirectP99, l.PathMedian, l.PathP99, l.PathMedian-l.DirectMedian, l.PathP99-l.DirectP99, l.MeanSync, l.RequestsPerSecond, l.Processor, l.Allocations, l.AllocatedKiB)
	}
	return nil
}
