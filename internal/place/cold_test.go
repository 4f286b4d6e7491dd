package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/gossip"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// The figures of deployment A: a cold server takes coldPerSecond, and may get
	// maxColdRequests in any second.
	coldPerSecond   = 14
	coldStart       = 3 * time.Second
	maxColdRequests = 26
	coldEntries     = 70
	coldServers     = 37
	warmServers     = 75
	coldDomain      = "c"
	// coldWindow is the time in which requests are counted.
	coldWindow = time.Second
	coldStep   = 20 * time.Millisecond
	// coldArrivals is the number of requests a second.
	coldArrivals = 740
	// coldPrefixes is the number of different prompt prefixes, and coldPromptTokens the
	// length of a prompt.
	coldPrefixes     = 1000
	coldPromptTokens = 1500
	// probeStep is how often entries look for servers to probe.
	probeStep = 100 * time.Millisecond
	// listLag is the time after which entries learn from the list that a server is cold.
	listLag = 1700 * time.Millisecond
	// coldSettled exceeds the time in which entries learn of their peers.
	coldSettled = 5 * time.Second
	// answerTime is how long a server has a request.
	answerTime = 400 * time.Millisecond
	// minServed is the part of the requests that must be placed, at the first entry or the
	// one that the caller tries next.
	minServed = 0.99
)

var coldPolicy = map[string]place.UpstreamPolicy{"pool": {ColdStart: coldStart, ColdRequestsPerSecond: coldPerSecond}}

// coldSite plays entries that share cold servers, in the bubble's time.
type coldSite struct {
	t       *testing.T
	random  *rand.Rand
	entries []*coldEntry
	servers map[string]*coldServer
	list    []instances.Instance
	// perSecond is the number of requests that arrive in a second.
	perSecond float64
	running   []runningRequest
	// due is the part of a request that is still to arrive.
	due             float64
	placed, refused int
}

// coldEntry is an entry of a coldSite.
type coldEntry struct {
	gossiper *gossip.Gossiper
	fleet    *place.Fleet
	// cutOff is set while datagrams do not reach the entry.
	cutOff bool
	// hasShares holds what hasShare has returned since the entry was last told its peers.
	hasShares map[shareKey]bool
}

// shareKey is what the share of an entry depends on beside its peers.
type shareKey struct {
	server     string
	maxEntries int
	learning   bool
}

// hasShare reports whether the entry may send requests to a cold server. Each failed
// connection of any entry asks all others, and most of the time of a run was spent on it.
func (e *coldEntry) hasShare(server string, maxEntries int) bool {
	key := shareKey{server: server, maxEntries: maxEntries, learning: e.gossiper.IsLearning()}
	has, known := e.hasShares[key]
	if !known {
		has = e.gossiper.LimitShare(server, maxEntries) > 0
		e.hasShares[key] = has
	}
	return has
}

// setPeers tells the entry of all others.
func (e *coldEntry) setPeers(addresses []string) {
	clear(e.hasShares)
	e.gossiper.SetPeers(addresses)
}

// coldServer is a server of a coldSite.
type coldServer struct {
	down bool
	// arrivals are the times of its requests since it was cold last.
	coldUntil time.Time
	arrivals  []time.Time
}

// runningRequest is a request at a server.
type runningRequest struct {
	placement *place.Placement
	server    *coldServer
	until     time.Time
}

// newColdSite returns a site whose entries know each other and its servers.
func newColdSite(t *testing.T, entries int) *coldSite {
	s := &coldSite{t: t, random: rand.New(rand.NewPCG(1, 0)), servers: make(map[string]*coldServer), perSecond: coldArrivals}
	for i := range warmServers + coldServers {
		domain := coldDomain
		if i >= coldServers {
			domain = string(rune('a' + i%2))
		}
		s.addServer(instances.Instance{ID: fmt.Sprintf("s%d", i), Upstream: "pool", Address: fmt.Sprintf("10.1.0.%d:80", i), FailureDomain: domain, Slots: 16, ColdStated: true})
	}
	for range entries {
		s.addEntry()
	}
	s.tellPeers()
	time.Sleep(coldSettled)
	return s
}

func (s *coldSite) addServer(instance instances.Instance) {
	s.list = append(s.list, instance)
	s.servers[instance.ID] = &coldServer{}
}

// addEntry starts an entry that the others don't know yet.
func (s *coldSite) addEntry() {
	e := s.newEntry(fmt.Sprintf("10.0.0.%d:7", len(s.entries)+1))
	s.entries = append(s.entries, e)
}

func (s *coldSite) newEntry(address string) *coldEntry {
	e := &coldEntry{fleet: &place.Fleet{}, gossiper: &gossip.Gossiper{Address: address}, hasShares: make(map[shareKey]bool)}
	e.fleet.LimitShare = e.gossiper.LimitShare
	e.fleet.IsLearning = e.gossiper.IsLearning
	e.fleet.ColdStated = func(server string, coldFor time.Duration) {
		if e.cutOff {
			return
		}
		for _, other := range s.entries {
			if other != e && !other.cutOff {
				other.fleet.RecordRemoteCold(server, coldFor, time.Now())
			}
		}
	}
	e.fleet.Unreached = func(server string, maxEntries int) {
		for _, other := range s.entries {
			if other != e && !e.cutOff && !other.cutOff && other.hasShare(server, maxEntries) {
				other.fleet.RecordProbeRequest(server, time.Now())
			}
		}
	}
	e.fleet.SetUpstreams(coldPolicy)
	e.fleet.Update(s.list, time.Now())
	return e
}

// tellPeers tells every entry of all others.
func (s *coldSite) tellPeers() {
	var addresses []string
	for _, e := range s.entries {
		addresses = append(addresses, e.gossiper.Address)
	}
	for _, e := range s.entries {
		e.setPeers(addresses)
	}
}

// tellList gives every entry the list, after a delay that differs.
func (s *coldSite) tellList(delay time.Duration) {
	for _, e := range s.entries {
		time.AfterFunc(time.Duration(s.random.Int64N(int64(delay)+1)), func() { e.fleet.Update(s.list, time.Now()) })
	}
}

// makeCold makes the servers of coldDomain cold for coldStart.
func (s *coldSite) makeCold() {
	for _, instance := range s.list {
		if instance.FailureDomain == coldDomain {
			s.servers[instance.ID].coldUntil = time.Now().Add(coldStart)
		}
	}
}

// withdraw ends the evacuation of coldDomain, whose servers have just started: every entry
// learns of it after a delay of at most a second, and sends them nothing before.
func (s *coldSite) withdraw() {
	s.makeCold()
	for _, e := range s.entries {
		e.fleet.Update(s.warm(), time.Now())
		time.AfterFunc(time.Duration(s.random.Int64N(int64(time.Second))), func() {
			e.fleet.Update(s.list, time.Now())
			e.fleet.SetEvacuated(map[string]bool{coldDomain: true}, time.Now())
			e.fleet.SetEvacuated(nil, time.Now())
		})
	}
}

// warm returns the servers outside coldDomain.
func (s *coldSite) warm() []instances.Instance {
	var list []instances.Instance
	for _, instance := range s.list {
		if instance.FailureDomain != coldDomain {
			list = append(list, instance)
		}
	}
	return list
}

// run lets requests arrive at random entries for a time. One that is refused is sent once
// more, to another entry.
func (s *coldSite) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.finish()
		s.probe()
		s.due += s.perSecond * coldStep.Seconds()
		for ; s.due >= 1; s.due-- {
			sent := s.send(s.randomEntry())
			if !sent {
				sent = s.send(s.randomEntry())
			}
			if sent {
				s.placed++
			} else {
				s.refused++
			}
		}
		time.Sleep(coldStep)
		synctest.Wait()
	}
}

func (s *coldSite) randomEntry() *coldEntry {
	return s.entries[s.random.IntN(len(s.entries))]
}

// send places a request at an entry and reports whether a server has got it.
func (s *coldSite) send(e *coldEntry) bool {
	now := time.Now()
	var tried []string
	request := prompt(uint64(s.random.IntN(coldPrefixes)), coldPromptTokens)
	for range 3 {
		chosen, ok := e.fleet.Pick(place.Query{Now: now, Upstream: "pool", FailureDomain: "a", Prompt: request, Tried: tried}).(place.Chosen)
		if !ok {
			return false
		}
		server := s.servers[chosen.Placement.ID]
		if server.down {
			chosen.Placement.Done(place.Unreachable{}, now)
			tried = append(tried, chosen.Placement.ID)
			continue
		}
		if now.Before(server.coldUntil) {
			server.arrivals = append(server.arrivals, now)
		}
		s.running = append(s.running, runningRequest{placement: chosen.Placement, server: server, until: now.Add(answerTime)})
		return true
	}
	return false
}

// probe answers the probes of all entries, which look for some to send every probeStep.
func (s *coldSite) probe() {
	now := time.Now()
	if now.UnixNano()%int64(probeStep) >= int64(coldStep) {
		return
	}
	for _, e := range s.entries {
		for _, endpoint := range e.fleet.StartColdProbes(now) {
			server := s.servers[endpoint.ID]
			if server.down {
				e.fleet.EndColdProbe(endpoint, place.NotConnected, now)
				continue
			}
			if now.Before(server.coldUntil) {
				server.arrivals = append(server.arrivals, now)
			}
			e.fleet.RecordProbedCold(endpoint.ID, max(0, server.coldUntil.Sub(now)), now, now)
			e.fleet.EndColdProbe(endpoint, place.Answered, now)
		}
	}
}

// finish answers the requests whose time has come.
func (s *coldSite) finish() {
	now := time.Now()
	rest := s.running[:0]
	for _, r := range s.running {
		if now.Before(r.until) {
			rest = append(rest, r)
			continue
		}
		r.placement.RecordAnswer(now)
		r.placement.Done(place.Served{}, now)
	}
	s.running = rest
}

// expectBounded checks that no server got more than maxColdRequests in any coldWindow while
// it was cold, and that the cold servers together got at least the given number a second
// each.
func (s *coldSite) expectBounded(minPerSecond float64) {
	s.t.Helper()
	most, total, cold := 0, 0, 0
	for _, server := range s.servers {
		if len(server.arrivals) > 0 {
			cold++
		}
		total += len(server.arrivals)
		first := 0
		for i, at := range server.arrivals {
			for at.Sub(server.arrivals[first]) >= coldWindow {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	mean := float64(total) / (coldServers * coldStart.Seconds())
	s.t.Logf("%d cold servers got at most %d requests in a second, %.1f a second in the mean; %d placed, %d refused", cold, most, mean, s.placed, s.refused)
	if most > maxColdRequests {
		s.t.Errorf("a cold server got %d requests within %s, want at most %d", most, coldWindow, maxColdRequests)
	}
	if most == 0 && s.placed > 0 {
		s.t.Error("no cold server got any request")
	}
	if mean < minPerSecond {
		s.t.Errorf("cold servers got %.1f requests a second in the mean, want at least %.1f", mean, minPerSecond)
	}
}

// expectServed checks that nearly all requests were placed.
func (s *coldSite) expectServed() {
	s.t.Helper()
	if part := float64(s.placed) / float64(s.placed+s.refused); part < minServed {
		s.t.Errorf("%.3f of the requests were placed, want %.3f", part, minServed)
	}
}

// TestColdServersAreNotOverloadedAtTheEndOfAnEvacuation guards against entries each of which
// sends the servers that are used again as much as one entry could.
func TestColdServersAreNotOverloadedAtTheEndOfAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdSite(t, coldEntries)
		s.withdraw()
		s.run(6 * time.Second)
		s.expectBounded(0)
		s.expectServed()
	})
}

// TestColdServersAloneServeWhatTheyTake guards against shares that leave cold servers unused
// although no other server can take the requests.
func TestColdServersAloneServeWhatTheyTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdSite(t, coldEntries)
		for _, instance := range s.warm() {
			s.servers[instance.ID].down = true
		}
		s.withdraw()
		s.run(4 * time.Second)
		s.expectBounded(5)
	})
}

// join restarts entries from the given one on, and starts as many new ones. The list that
// they get may be too old to know of cold servers.
func (s *coldSite) join(first, count int) {
	for i := range count {
		s.entries[first+i] = s.newEntry(s.entries[first+i].gossiper.Address)
		s.addEntry()
	}
	s.tellPeers()
}

// listCold gives every entry a list that says whether the servers of coldDomain are cold.
func (s *coldSite) listCold(cold bool) {
	s.list = slices.Clone(s.list)
	for i := range s.list {
		s.list[i].Cold = cold && s.list[i].FailureDomain == coldDomain
	}
	for _, e := range s.entries {
		e.fleet.Update(s.list, time.Now())
	}
}

// TestEntriesThatJoinOrRestartKeepToTheBound guards against entries that just started and do
// not know how many others share a cold server, or that get a full share beside the others'.
func TestEntriesThatJoinOrRestartKeepToTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdSite(t, coldEntries)
		for _, instance := range s.warm() {
			s.servers[instance.ID].down = true
		}
		s.withdraw()
		s.run(time.Second)
		s.join(0, 3)
		s.run(listLag - time.Second)
		s.listCold(true)
		s.join(3, 10)
		s.run(3 * time.Second)
		s.listCold(false)
		s.makeCold()
		for _, e := range s.entries {
			e.fleet.SetEvacuated(map[string]bool{coldDomain: true}, time.Now())
			e.fleet.SetEvacuated(nil, time.Now())
		}
		s.run(4 * time.Second)
		s.expectBounded(0)
	})
}

// TestOneEntryRestartsAmongServersThatAreCold guards against an entry that sends requests
// before it knows the others, to servers of which its first list says that they are cold.
func TestOneEntryRestartsAmongServersThatAreCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdSite(t, 3)
		s.makeCold()
		s.listCold(true)
		e := s.newEntry("10.0.0.99:7")
		e.setPeers([]string{s.entries[0].gossiper.Address})
		for range 200 {
			s.send(e)
		}
		s.expectBounded(0)
		for id, server := range s.servers {
			if len(server.arrivals) > 0 {
				t.Errorf("the entry has sent %s %d requests before it knew the others", id, len(server.arrivals))
			}
		}
	})
}

// TestPartitionedEntryKeepsToItsShare guards against an entry that believes to be alone once
// it hears nothing of the others, and against others that take over its share.
func TestPartitionedEntryKeepsToItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdSite(t, coldEntries)
		for _, instance := range s.warm() {
			s.servers[instance.ID].down = true
		}
		var rest []string
		for _, e := range s.entries[20:] {
			rest = append(rest, e.gossiper.Address)
		}
		for i, e := range s.entries {
			e.cutOff = i < 20
			if i >= 20 {
				e.setPeers(rest)
			}
		}
		time.Sleep(coldSettled)
		s.withdraw()
		s.run(4 * time.Second)
		s.expectBounded(4)
	})
}

// listWithout returns the list as it is where it says nothing about coldness.
func listWithout(list []instances.Instance) []instances.Instance {
	var silent []instances.Instance
	for _, instance := range list {
		instance.Cold, instance.ColdStated = false, false
		silent = append(silent, instance)
	}
	return silent
}

// TestServerOfASilentListCountsAsColdWhenItIsNew guards against a new server that gets the
// usual requests because the list says nothing about coldness.
func TestServerOfASilentListCountsAsColdWhenItIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdSite(t, coldEntries)
		s.list = listWithout(s.list)
		s.tellList(0)
		for _, instance := range s.warm() {
			s.servers[instance.ID].down = true
		}
		for i := range coldServers {
			s.list[i].ID = fmt.Sprintf("new%d", i)
			s.servers[s.list[i].ID] = &coldServer{coldUntil: time.Now().Add(coldStart)}
		}
		s.tellList(time.Second)
		s.run(4 * time.Second)
		s.expectBounded(4)
	})
}

// TestServersBackUnderTheirOldIDsAreNotOverloaded guards against servers that restart under
// the same id and address without the list ever missing them. Some entries notice that they
// were down, and those with a share probe them and tell the others; the list is late.
func TestServersBackUnderTheirOldIDsAreNotOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdSite(t, coldEntries)
		for id, server := range s.servers {
			server.down = id != "s100"
		}
		s.run(2 * time.Second)
		for _, instance := range s.list[:coldServers] {
			s.servers[instance.ID].down = false
		}
		s.makeCold()
		s.run(listLag)
		s.listCold(true)
		s.run(4 * time.Second)
		s.expectBounded(0)
	})
}
