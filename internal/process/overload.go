package process

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	// bytesPerMegabit converts the bandwidth of the settings.
	bytesPerMegabit = 1e6 / 8
	// backendIdleTimeout is how long a connection to a backend server that states no
	// Keep-Alive may be idle. Where many entries share many servers, the requests of one
	// entry to one server are seconds apart.
	backendIdleTimeout = 12 * time.Second
	// defaultMemoryMB is the memory of an instance whose settings don't state it.
	defaultMemoryMB = 256
)

// limitLoad lets the entry divert load if the settings ask for that. If bounded is set, it also
// lets it shed load, and bounds whole responses and what is outstanding at each backend server.
func (g *Gateway) limitLoad(s *settings.Overload, bounded bool) {
	sheds := bounded && s.Shed
	if sheds || s.Divert {
		g.Server.Overload = newOverloadController(s, sheds)
	}
	if s.Divert {
		g.diverter = overload.NewDiverter(s.LinkMbps * bytesPerMegabit)
	}
	g.bounded = bounded
	g.mayDivert.Store(bounded)
	if bounded {
		g.Server.Upstream.IdleTimeout = backendIdleTimeout
		g.Server.Upstream.OldestFirst = true
		g.Server.BoundsResponses = true
		g.Server.Fleet.MaxServerBytes = g.Server.Memory.Bounds.Server
	}
}

// boundResources bounds what callers and backend servers occupy of the entry's descriptors and
// memory, on every site: callers need not keep to the limits.
func (g *Gateway) boundResources(s *settings.Settings, logger *log.Logger) {
	limit, memoryMB := descriptorLimit(), entryMemoryMB(s.Seeded)
	g.limitConnections(limit)
	g.connections = newConnectionGroup(maxConnections(s.MaxConnections, limit, memoryMB), logger, s.CallerAddress)
	g.connections.maxHeldBytes = maxHeadBytes(memoryMB)
	g.Server.Memory = &memory.Account{Bounds: memory.BoundsOf(memoryMB)}
}

// entryMemoryMB returns the memory of the entry in MiB, or defaultMemoryMB if the settings
// don't state it.
func entryMemoryMB(s *settings.Seeded) int {
	switch {
	case s.Overload != nil:
		return s.Overload.MemoryMB
	case s.MemoryMB > 0:
		return s.MemoryMB
	default:
		return defaultMemoryMB
	}
}

// newOverloadController returns the controller of an entry with the given resources.
func newOverloadController(s *settings.Overload, sheds bool) *overload.Controller {
	return &overload.Controller{
		LinkBytesPerSecond: s.LinkMbps * bytesPerMegabit,
		MeasureOnly:        !sheds,
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

// limitConnections makes the entry close idle connections that would leave callers too few
// descriptors, and refuse requests before none is left.
func (g *Gateway) limitConnections(limit overload.DescriptorLimit) {
	g.descriptorLimit = limit
	if limit == 0 {
		return
	}
	g.Server.Upstream.MaxIdle = func() int { return limit.MaxIdle(g.connectionsInUse()) }
	g.Server.HasDescriptors = func() bool { return limit.HasRoom(g.connectionsInUse()) }
}

// requestNetwork returns the network for connections that carry requests. It counts what they
// receive and send if the entry may divert.
func (g *Gateway) requestNetwork(network transport.Network) transport.Network {
	if g.diverter == nil {
		return network
	}
	return countedNetwork{Network: network, counter: &g.link}
}

// startOverload starts the log of shedding and the decisions to divert, if the settings ask for
// them.
func (g *Gateway) startOverload(environment Environment) {
	controller := g.Server.Overload
	if controller != nil && !controller.MeasureOnly {
		logger := startShedLogger(controller, environment.Telemetry.Log)
		g.closers.add(logger.close)
	}
	if g.diverter != nil {
		loop := startDivertLoop(g.diverter, controller, &g.link, &g.mayDivert, g.isDivertingAsked, environment.Telemetry.Log)
		g.closers.add(loop.close)
	}
}

// isDivertingAsked reports whether the entry may divert: the contracts ask it to bound load, or
// backend servers share their machines with others and state so, in which case load is uneven.
func (g *Gateway) isDivertingAsked(now time.Time) bool {
	return g.bounded || g.Server.Fleet.StatesSlowdown(now)
}

// isDiverting reports whether the entry asks the load balancer for no new connections.
func (g *Gateway) isDiverting() bool {
	return g.diverter != nil && g.diverter.Status().Diverting
}

// isNotListening reports whether the socket for callers can't be opened again after a pause.
func (g *Gateway) isNotListening() bool {
	return g.accepts != nil && g.accepts.isFailing.Load()
}

// listenForCallers opens the listener for callers. Its socket may be closed for a time if the
// settings ask for that.
func (g *Gateway) listenForCallers(environment Environment) error {
	network := g.requestNetwork(environment.Network)
	bounds := g.settings.Seeded.Overload
	options := listenOptions{group: g.connections, limits: g.requestLimits}
	if g.diverter == nil || !bounds.RefuseConnections {
		callers, err := listen(network, g.settings.CallerAddress, g.Server, options)
		if err != nil {
			return err
		}
		g.callers = callers
		g.closers.add(callers.close)
		return nil
	}
	socket, err := listenPausable(network, g.settings.CallerAddress)
	if err != nil {
		return err
	}
	g.callers = serveOn(socket, g.Server, options)
	g.closers.add(g.callers.close)
	g.accepts = &acceptLoop{
		limiter:   overload.NewAcceptLimiter(bounds.LinkMbps * bytesPerMegabit),
		mayDivert: &g.mayDivert, diverter: g.diverter, counter: &g.link, listener: socket, log: environment.Telemetry.Log,
	}
	g.accepts.start()
	g.closers.add(g.accepts.close)
	return nil
}

// connectionsInUse returns the number of open connections, without the idle ones to servers.
func (g *Gateway) connectionsInUse() int {
	open, idle := g.Server.Upstream.Open()
	return open - idle + g.connections.count()
}
