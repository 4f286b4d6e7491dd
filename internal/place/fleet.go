package place

import (
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

// Fleet tracks the backend servers known to an entry and picks one for each
// request. Its zero value is ready to use, and it is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	servers map[string]*server
	// PromptSent, if not nil, is called for each prompt placed at a server, so
	// that the entry can announce it to other entries. It must not call the
	// fleet.
	PromptSent func(server string, prefillTime time.Duration, segments []PrefixSegment)

	// Changed, if not nil, is called when the state of a server changes. It
	// must not call the fleet.
	Changed func(Change)

	// MaxServerBytes bounds the bytes of request bodies that this entry has outstanding at
	// one server; 0 bounds none. It must be set before the first Pick.
	MaxServerBytes int64

	// LimitShare returns the part, from 0 to 1, of the limit of a server that this entry
	// may use, of which at most the given number of entries may use any. If it is nil,
	// the entry uses all of it. It must not call the fleet.
	LimitShare func(server string, maxEntries int) float64
	// LimitStated, if not nil, is called with what a server has stated about its limit,
	// the given time ago, if other entries may not know it. It must not call the fleet.
	LimitStated func(server string, limit Limit, age time.Duration)

	// IsLearning reports whether this entry can't know yet how many other entries there are;
	// nil means that it does. It must not call the fleet.
	IsLearning func() bool
	// ColdStated, if not nil, is called when a server has stated that it stays cold for the
	// given time, if other entries may not know it. It must not call the fleet.
	ColdStated func(server string, coldFor time.Duration)
	// Unreached, if not nil, is called when a server could not be reached and may be cold
	// when it is reachable again, with the number of entries that may then send it requests.
	// These should probe it. It must not call the fleet.
	Unreached func(server string, maxEntries int)

	// ProbeNeeded, if not nil, is called when StartUnconfirmedProbes must be called at once. It
	// must not call the fleet and must not block.
	ProbeNeeded func()
	// unprobed holds the servers that StartUnconfirmedProbes has to look at.
	unprobed []*server

	// Regions maps the name of each failure domain to its region. Set it before the first
	// Update.
	Regions map[string]string

	// hasList is set once a list had servers, and firstList while that one is applied.
	hasList, firstList bool

	// departures tracks the leaving servers by departureKey, also after they were
	// removed, because an outdated list may show them again as available.
	departures instances.Departures

	versions versionHistory

	// paths holds the state of the path to each upstream, and peers that of other entries
	// that requests are passed to, by address.
	paths map[string]*reach
	peers map[string]*server

	evacuations evacuations

	// brittle holds what servers have stated about rejections, by upstream.
	brittle map[string]brittleness

	// Adaptive asks for estimates of load and speed at all upstreams. Without it, they are
	// used at those whose servers state a slowdown.
	Adaptive bool
	// AdaptiveChanged, if not nil, is called when an upstream begins or ceases to use
	// estimates, with the number of its servers. Counts calls it. It must not call the fleet.
	AdaptiveChanged func(upstream string, adaptive bool, servers int)
	// ConnectTime, if not nil, returns the time until a request can be sent to a server: 0 if
	// an idle connection is open that can carry it. Once is set for a request that must not
	// run twice. It counts in the choice by estimates. It is called with the lock of the
	// fleet held, must return at once and must not hold a lock under which the fleet is called.
	ConnectTime func(server string, once bool) time.Duration
	// Seed is the seed of the random choices among the servers of such upstreams.
	Seed uint64
	// draws counts the random numbers that were drawn.
	draws uint64
	// upstreams holds what the servers of each upstream have in common.
	upstreams map[string]*upstreamState
	// eligibles is the buffer for the servers that may take a request.
	eligibles []*server
	// preferables and groupWeights are buffers for the search of the preferred server.
	preferables  []*server
	groupWeights []uint64
}
