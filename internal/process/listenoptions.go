package process

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/overload"
)

const (
	// statusConnections bounds the connections of a listener for status or metrics, which
	// few programs ask, each now and then.
	statusConnections = 16
	// operatorConnections bounds the connections of operators.
	operatorConnections = 256
	// operatorIdleTimeout is how long a connection of an operator may be idle.
	operatorIdleTimeout = 20 * time.Second
	// controlBodyTimeout bounds the time in which a document or a message must arrive at a
	// control instance.
	controlBodyTimeout = 10 * time.Second
	// documentFactor and messageFactor are how many times its length a document of an operator
	// and a message of another process take while they are read, decoded and handled.
	documentFactor = 4
	messageFactor  = 2
	// connectionBytes is the memory that an idle connection takes, and connectionShare the
	// share of the memory of an instance, one part in so many, that connections may take.
	connectionBytes = 16 << 10
	connectionShare = 6
	// headShare is the share of the memory of an instance that the headers of requests may
	// come to, as they are sent; in memory they take up to ten times as much.
	headShare = 32
	// smallHeadBytes is the size of a header up to which a request is served whatever the
	// headers of others come to.
	smallHeadBytes = 4 << 10

	bytesPerMegabyte = 1 << 20
)

// listenOptions says what a listener bounds. Its zero value bounds what is the same for all
// listeners.
type listenOptions struct {
	// group holds the open connections and bounds them; nil bounds none.
	group *connectionGroup
	// limits returns the limits of requests that are in force; nil stands for the default
	// ones.
	limits func() requestLimits
	// bodies bounds the request bodies.
	bodies bodyLimits
}

// maxConnections returns how many connections of callers an instance may keep open: what its
// settings say, or else its memory allows, but no more than its descriptors allow. 0 stands for
// what is not set or not known.
func maxConnections(configured int, limit overload.DescriptorLimit, memoryMB int) int {
	wanted := configured
	if wanted == 0 {
		wanted = memoryMB * bytesPerMegabyte / connectionShare / connectionBytes
	}
	allowed := limit.MaxConnections()
	if wanted == 0 || allowed == 0 {
		return max(wanted, allowed)
	}
	return min(wanted, allowed)
}

// maxHeadBytes returns the bound of the headers of all requests.
func maxHeadBytes(memoryMB int) int64 {
	return int64(memoryMB) * bytesPerMegabyte / headShare
}

// statusOptions returns the options of a listener for status or metrics.
func statusOptions(logger *log.Logger, address string) listenOptions {
	return listenOptions{group: newConnectionGroup(statusConnections, logger, address)}
}

// peerOptions returns the options of the listener of a control instance for the other processes of
// the fleet, each of which keeps several connections open.
func peerOptions(logger *log.Logger, address string, memoryMB int) listenOptions {
	options := controlOptions(logger, address, memoryMB)
	options.group.max = descriptorLimit().MaxConnections()
	options.bodies.Factor = messageFactor
	return options
}

// operatorOptions returns the options of the listener of a control instance for operators.
func operatorOptions(logger *log.Logger, address string, memoryMB int) listenOptions {
	options := controlOptions(logger, address, memoryMB)
	options.limits = func() requestLimits { return requestLimits{IdleTimeout: operatorIdleTimeout} }
	return options
}

// controlOptions returns what the listeners of a control instance have in common.
func controlOptions(logger *log.Logger, address string, memoryMB int) listenOptions {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	group := newConnectionGroup(operatorConnections, logger, address)
	group.maxHeldBytes = maxHeadBytes(memoryMB)
	account := &memory.Account{Bounds: memory.BoundsOf(memoryMB)}
	return listenOptions{group: group, bodies: bodyLimits{Memory: account, Factor: documentFactor, Timeout: controlBodyTimeout}}
}

// newConnectionGroup returns a group that keeps up to the given number of connections open and logs
// what callers do beyond the limits.
func newConnectionGroup(limit int, logger *log.Logger, address string) *connectionGroup {
	return &connectionGroup{max: limit, excess: excessCounter{log: logger, address: address}}
}
