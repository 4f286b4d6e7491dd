package process

import (
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/settings"
)

const (
	// bytesPerMegabit converts the bandwidth of the settings.
	bytesPerMegabit = 1e6 / 8
	// backendIdleTimeout is how long a connection to a backend server that states no
	// Keep-Alive may be idle. Where many entries share many servers, the requests of one
	// entry to one server are seconds apart.
	backendIdleTimeout = 12 * time.Second
)

// newOverloadController returns the controller of an entry, or nil if its settings ask for
// none.
func newOverloadController(s *settings.Overload) *overload.Controller {
	if s == nil {
		return nil
	}
	return &overload.Controller{
		LinkBytesPerSecond: s.LinkMbps * bytesPerMegabit,
		Random:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// descriptorLimit returns the number of file descriptors that the process may open, or 0 if
// it is unknown or unlimited.
func descriptorLimit() overload.DescriptorLimit {
	var limit unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	if err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return overload.DescriptorLimit(limit.Cur)
}

// limitConnections makes the entry reuse idle connections for longer, close those that would
// leave callers too few descriptors, and refuse requests before none is left.
func (g *Gateway) limitConnections(limit overload.DescriptorLimit) {
	client := g.Server.Upstream
	client.IdleTimeout = backendIdleTimeout
	client.OldestFirst = true
	g.descriptorLimit = limit
	if limit == 0 {
		return
	}
	client.MaxIdle = func() int { return limit.MaxIdle(g.connectionsInUse()) }
	g.Server.HasDescriptors = func() bool { return limit.HasRoom(g.connectionsInUse()) }
}

// connectionsInUse returns the number of open connections, without the idle ones to servers.
func (g *Gateway) connectionsInUse() int {
	open, idle := g.Server.Upstream.Open()
	return open - idle + int(g.connections.Load())
}
