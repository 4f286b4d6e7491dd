package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"

	"github.com/cactusbay/cactusbay/internal/check"
)

// maxPort is the highest TCP port.
const maxPort = 65535

// Seeded holds the settings of a site whose instances find each other through
// seeds and that uses the protocols of its platform, the dialect.
type Seeded struct {
	// Dialect names the protocols and formats that callers, operators and backend
	// servers of the site use.
	Dialect string `json:"dialect"`
	// Seeds are addresses of some control instances. Only the hosts are used; the
	// port is PeerPort.
	Seeds []string `json:"seeds"`
	// PeerPort is the port on which all control instances serve the other
	// processes of the fleet.
	PeerPort int `json:"peer_port"`
	// Founding is true only at the first start of the whole site, when the control
	// group is created.
	Founding bool `json:"founding,omitempty"`
	// Tolerance is the number of simultaneous failures to survive.
	Tolerance Tolerance `json:"tolerance,omitzero"`
	// InstanceList is the address from which the list of backend servers is read.
	InstanceList string `json:"instance_list"`
	// SourceAddress is the IP address from which connections to backend servers are
	// opened; empty means that the operating system chooses one.
	SourceAddress string `json:"source_address,omitempty"`
	// Retries limits the retries of the whole fleet.
	Retries Retries `json:"retries,omitzero"`
	// Placement says how entries choose backend servers.
	Placement Placement `json:"placement,omitzero"`
	// FailureDomains maps the name of each failure domain of the site to its region.
	// Empty means that the names are not known, and then none is refused.
	FailureDomains map[string]string `json:"failure_domains,omitempty"`
	// MemoryMB is the memory available to the process in MiB; 0 means no limit.
	MemoryMB int `json:"memory_mb,omitempty"`
	// Contracts names what the platform asks of this site; the dialect knows the names.
	Contracts []string `json:"contracts,omitempty"`
	// Overload bounds what an entry takes on, where the contracts ask for it; nil means that
	// nothing more is bounded.
	Overload *Overload `json:"overload,omitempty"`
}

// Overload states the resources of an entry.
type Overload struct {
	// Shed makes the entry measure its own delay, and refuse requests while others have
	// room that it lacks.
	Shed bool `json:"shed,omitempty"`
	// Divert makes the entry measure its delay and the utilization of its link, and report
	// not ready to the load balancer while it is overloaded and others have room.
	Divert bool `json:"divert,omitempty"`
	// RefuseConnections makes an entry that may divert also accept no connections, for up to
	// a second at a time, while requests fill its incoming link.
	RefuseConnections bool `json:"refuse_connections,omitempty"`
	// LinkMbps is the bandwidth of the entry's link in each direction, in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// MemoryMB is the memory of the entry in MiB.
	MemoryMB int `json:"memory_mb"`
}

// Tolerance is the number of instances and failure domains that may be lost at
// once without loss of durable state.
type Tolerance struct {
	Instances      int `json:"instances"`
	FailureDomains int `json:"failure_domains,omitempty"`
}

// Retries is the retry budget for each upstream: it limits the attempts after the
// first attempt of each request.
type Retries struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64 `json:"ratio"`
	// Slack is the number of retries allowed per window in addition to Ratio.
	Slack float64 `json:"slack"`
	// Window is the period over which requests and retries are counted.
	Window *check.Duration `json:"window"`
}

// Placement says how entries choose backend servers.
type Placement struct {
	// Adaptive makes entries estimate the load and the speed of all backend servers.
	// Without it they do so at upstreams whose servers state a slowdown.
	Adaptive bool `json:"adaptive,omitempty"`
}

// Voters returns the number of voters in the control group, chosen so that the
// voters that survive the loss of t.Instances, or of one if that is 0, are a
// majority.
func (t Tolerance) Voters() int {
	return 2*max(1, t.Instances) + 1
}

// PeerAddresses returns the peer addresses of the seeds, sorted and without
// duplicates.
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
	if s.SourceAddress != "" && net.ParseIP(s.SourceAddress) == nil {
		faults.Add("seeded.source_address", "must be an IP address")
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
	_, unnamed := s.FailureDomains[""]
	if unnamed {
		faults.Add("seeded.failure_domains", "must not hold an empty name")
	}
	if s.MemoryMB < 0 {
		faults.Add("seeded.memory_mb", "must be 1 or more megabytes")
	}
	s.Overload.validate(faults)
}

func (o *Overload) validate(faults *check.Faults) {
	if o == nil {
		return
	}
	if o.LinkMbps <= 0 {
		faults.Add("seeded.overload.link_mbps", "must be more than 0 Mbit/s")
	}
	if o.MemoryMB <= 0 {
		faults.Add("seeded.overload.memory_mb", "must be 1 or more megabytes")
	}
	if o.RefuseConnections && !o.Divert {
		faults.Add("seeded.overload.refuse_connections", "requires divert, which measures whether other entries have room")
	}
}
