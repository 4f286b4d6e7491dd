package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"

	"github.com/cactusbay/cactusbay/internal/check"
)

// maxPort is the highest port.
const maxPort = 65535

// Seeded are the settings of a site that speaks a dialect of its surroundings
// and whose instances find each other through seeds.
type Seeded struct {
	// Dialect names the words that callers, operators and backend servers of
	// the site speak.
	Dialect string `json:"dialect"`
	// Seeds are addresses of some control instances; only their hosts count.
	Seeds []string `json:"seeds"`
	// PeerPort is where all control instances serve the fleet's processes.
	PeerPort int `json:"peer_port"`
	// Founding is true only at the first start of the whole site.
	Founding bool `json:"founding,omitempty"`
	// Tolerance is what may be lost at once.
	Tolerance Tolerance `json:"tolerance,omitzero"`
	// InstanceList is where the list of backend servers is read.
	InstanceList string `json:"instance_list"`
	// Retries bounds the repeats of the whole fleet.
	Retries Retries `json:"retries,omitzero"`
	// MemoryMB bounds the memory of the process, in megabytes.
	MemoryMB int `json:"memory_mb,omitempty"`
}

// Tolerance is what may be lost at once without loss of durable state.
type Tolerance struct {
	Instances      int `json:"instances"`
	FailureDomains int `json:"failure_domains,omitempty"`
}

// Retries bounds the sends to an upstream beyond the first of each request.
type Retries struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64 `json:"ratio"`
	// Slack is the repeats allowed besides, within a window.
	Slack float64 `json:"slack"`
	// Window is the time over which both are counted.
	Window *check.Duration `json:"window"`
}

// Voters returns how many members of the control group vote, so that those
// that are left after a loss are a majority.
func (t Tolerance) Voters() int {
	return 2*max(1, t.Instances) + 1
}

// PeerAddresses returns where the seeds serve the fleet's processes.
func (s *Seeded) PeerAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(s.PeerPort)))
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (s *Seeded) validate(faults *check.Faults) {
	checkRequired("seeded.dialect", s.Dialect, "the name of the site's dialect", faults)
	if len(s.Seeds) == 0 {
		faults.Add("seeded.seeds", "is missing: list addresses of control instances")
	}
	for i, seed := range s.Seeds {
		checkAddress(fmt.Sprintf("seeded.seeds[%d]", i), seed, faults)
	}
	if s.PeerPort <= 0 || s.PeerPort > maxPort {
		faults.Add("seeded.peer_port", "must be a port from 1 to %d", maxPort)
	}
	if s.Tolerance.Instances < 0 || s.Tolerance.FailureDomains < 0 {
		faults.Add("seeded.tolerance", "must hold numbers of 0 or more")
	}
	checkAddress("seeded.instance_list", s.InstanceList, faults)
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 {
		faults.Add("seeded.retries", "must hold numbers of 0 or more")
	}
	faults.Positive("seeded.retries.window", s.Retries.Window)
	if s.MemoryMB < 0 {
		faults.Add("seeded.memory_mb", "must be 1 or more megabytes")
	}
}
