package process

import (
	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/overload"
)

const (
	// statusConnections bounds the connections of a listener for status or metrics, which
	// few programs ask, each now and then.
	statusConnections = 16
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

// maxConnections returns how many connections of callers an instance may keep open: what its
// settings say, or else what its descriptors and its memory allow; 0 if neither is known.
func maxConnections(configured int, limit overload.DescriptorLimit, memoryMB int) int {
	if configured > 0 {
		return configured
	}
	byMemory := memoryMB * bytesPerMegabyte / connectionShare / connectionBytes
	byDescriptors := limit.MaxConnections()
	if byMemory == 0 || byDescriptors == 0 {
		return max(byMemory, byDescriptors)
	}
	return min(byMemory, byDescriptors)
}

// maxHeadBytes returns the bound of the headers of all requests.
func maxHeadBytes(memoryMB int) int64 {
	return int64(memoryMB) * bytesPerMegabyte / headShare
}

// statusOptions returns the options of a listener for status or metrics.
func statusOptions(logger *log.Logger, address string) listenOptions {
	return listenOptions{group: newConnectionGroup(statusConnections, logger, address)}
}

// newConnectionGroup returns a group that logs the connections that it closes for want of room.
func newConnectionGroup(limit int, logger *log.Logger, address string) *connectionGroup {
	g := &connectionGroup{}
	g.bound(limit, logger, address)
	return g
}

// bound sets the bound of the group, and logs the connections that it closes.
func (g *connectionGroup) bound(limit int, logger *log.Logger, address string) {
	g.max = limit
	g.closed = func(count int) {
		logger.Warn("connections closed for want of room", "address", address, "closed", count, "open", g.count(), "limit", limit)
	}
}
