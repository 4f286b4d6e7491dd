package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/gossip"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// The figures of the fault soak: a cold server takes soakPerSecond, and may get
	// maxSoakRequests in any second.
	soakPerSecond   = 6
	maxSoakRequests = 14
	// soakArrivals is the number of requests a second at its three servers of a service.
	soakArrivals = 150
	// restartAge is how long before the entries' start a server has restarted, and lateList
	// how long after it the entries learn of that from the list.
	restartAge = 300 * time.Millisecond
	lateList   = 500 * time.Millisecond
	// startSpread is the time within which all entries of a site start.
	startSpread = 300 * time.Millisecond
	// probeTime is how long a probe takes, and probeTimeout how long an entry waits for it.
	probeTime    = 5 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// mostPreferred is the server of 112 that most of the prompt prefixes prefer, 18 of 1,000,
	// and hotPreferred the one that prefix 0 prefers.
	mostPreferred = 31
	hotPreferred  = 13
	// startStep is the time between two looks at a site that starts.
	startStep = 5 * time.Millisecond
)

// startSite plays entries that start beside servers of which one is cold, in the bubble's
// time.
type startSite struct {
	t       *testing.T
	random  *rand.Rand
	entries []*startEntry
	servers map[string]*startServer
	list    []instances.Instance
	// restarted is the position of the server that has restarted.
	restarted int
	// perSecond is the number of requests that arrive in a second.
	perSecond float64
	// prompts is set if they have prompts, and hot if half of these have the prefix 0.
	prompts, hot bool
	// announced is set if the entries' datagrams reach each other.
	announced bool

	due             float64
	running         []startRequest
	placed, refused int
	started         time.Time
}

// startEntry is an entry of a startSite.
type startEntry struct {
	fleet   *place.Fleet
	startAt time.Time
	running bool
	// probeNeeded is set when the fleet asks for a probe, and probes are those that run.
	probeNeeded bool
	probes      []startProbe
}

// startProbe is a probe on its way.
type startProbe struct {
	endpoint place.Endpoint
	sentAt   time.Time
	until    time.Time
}

// startRequest is a request at a server.
type startRequest struct {
	placement *place.Placement
	until     time.Time
}

// startServer is a server of a startSite.
type startServer struct {
	coldUntil time.Time
	// silent is set if the server answers nothing.
	silent bool
	// arrivals are the times of its requests and probes while it was cold or silent.
	arrivals []time.Time
}

// newStartSite returns a site whose entries start within the given time, beside servers of
// which the given one restarted restartAge ago and is cold for coldStart from then on.
func newStartSite(t *testing.T, entries int, spread time.Duration, servers int, restarted int, perSecond, bound float64) *startSite {
	s := &startSite{t: t, random: rand.New(rand.NewPCG(1, 0)), servers: make(map[string]*startServer), restarted: restarted, perSecond: perSecond, started: time.Now()}
	for i := range servers {
		instance := instances.Instance{ID: fmt.Sprintf("s%03d", i), Upstream: "pool", Address: fmt.Sprintf("10.1.0.%d:80", i), FailureDomain: "a", Slots: 16, ColdStated: true}
		s.list = append(s.list, instance)
		s.servers[instance.ID] = &startServer{}
	}
	s.cold().coldUntil = time.Now().Add(coldStart - restartAge)
	var addresses []string
	for i := range entries {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7", i+1))
	}
	for i, address := range addresses {
		e := &startEntry{fleet: &place.Fleet{Seed: uint64(i)}, startAt: time.Now().Add(time.Duration(s.random.Int64N(int64(spread) + 1)))}
		gossiper := &gossip.Gossiper{Address: address}
		e.fleet.LimitShare = gossiper.LimitShare
		e.fleet.IsLearning = gossiper.IsLearning
		e.fleet.ProbeNeeded = func() { e.probeNeeded = true }
		e.fleet.ColdStated = func(server string, coldFor time.Duration) { s.announce(e, server, coldFor) }
		e.fleet.SetUpstreams(map[string]place.UpstreamPolicy{"pool": {ColdStart: coldStart, ColdRequestsPerSecond: bound}})
		if entries > 1 {
			time.AfterFunc(time.Until(e.startAt), func() { gossiper.SetPeers(addresses) })
		}
		s.entries = append(s.entries, e)
	}
	return s
}

// cold returns the server that has restarted.
func (s *startSite) cold() *startServer {
	return s.servers[s.list[s.restarted].ID]
}

// announce tells all other entries that run that a server is cold.
func (s *startSite) announce(from *startEntry, server string, coldFor time.Duration) {
	if !s.announced {
		return
	}
	for _, other := range s.entries {
		if other != from && other.running {
			other.fleet.RecordRemoteCold(server, coldFor, time.Now())
		}
	}
}

// run starts the entries when their time has come and lets requests arrive at those that run
// for a time. A request that is refused is sent once more, to another entry. Entries that
// start lateList after the site's start, or later, know from the list that the server is cold.
func (s *startSite) run(duration time.Duration) {
	listed := false
	for end := time.Now().Add(duration); time.Now().Before(end); {
		now := time.Now()
		if !listed && now.Sub(s.started) >= lateList && s.list[s.restarted].ColdStated {
			listed = true
			s.listCold(true)
		}
		if listed && s.list[s.restarted].Cold && !now.Before(s.cold().coldUntil.Add(lateList)) {
			s.listCold(false)
		}
		s.finish(now)
		s.startEntries(now)
		s.sendDue(now)
		s.lookForProbes(now)
		time.Sleep(startStep)
		synctest.Wait()
	}
}

// listCold gives the entries that run a list that says whether the server is cold.
func (s *startSite) listCold(cold bool) {
	s.list = append([]instances.Instance(nil), s.list...)
	s.list[s.restarted].Cold = cold
	for _, e := range s.entries {
		if e.running {
			e.fleet.Update(s.list, time.Now())
		}
	}
}

func (s *startSite) startEntries(now time.Time) {
	for _, e := range s.entries {
		if !e.running && !now.Before(e.startAt) {
			e.running = true
			e.fleet.Update(s.list, now)
		}
	}
}

// sendDue sends the requests of a step. All arrive at entries that run.
func (s *startSite) sendDue(now time.Time) {
	var up []*startEntry
	for _, e := range s.entries {
		if e.running {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	s.due += s.perSecond * startStep.Seconds()
	for ; s.due >= 1; s.due-- {
		sent := s.send(up[s.random.IntN(len(up))], now)
		if !sent {
			sent = s.send(up[s.random.IntN(len(up))], now)
		}
		if sent {
			s.placed++
		} else {
			s.refused++
		}
	}
}

// send places a request at an entry and reports whether a server that answers has got it.
func (s *startSite) send(e *startEntry, now time.Time) bool {
	q := place.Query{Now: now, Upstream: "pool", FailureDomain: "a"}
	if s.prompts {
		prefix := s.random.IntN(coldPrefixes)
		if s.hot && s.random.IntN(2) == 0 {
			prefix = 0
		}
		q.Prompt = prompt(uint64(prefix), coldPromptTokens)
	}
	chosen, ok := e.fleet.Pick(q).(place.Chosen)
	if e.probeNeeded {
		e.probeNeeded = false
		s.startProbes(e, e.fleet.StartUnconfirmedProbes(now), now)
	}
	if !ok {
		return false
	}
	server := s.servers[chosen.Placement.ID]
	server.arrive(now)
	if server.silent {
		return false
	}
	s.running = append(s.running, startRequest{placement: chosen.Placement, until: now.Add(answerTime)})
	return true
}

// lookForProbes starts the probes for which entries look every probeStep.
func (s *startSite) lookForProbes(now time.Time) {
	if now.UnixNano()%int64(probeStep) >= int64(startStep) {
		return
	}
	for _, e := range s.entries {
		s.startProbes(e, e.fleet.StartColdProbes(now), now)
	}
}

func (s *startSite) startProbes(e *startEntry, endpoints []place.Endpoint, now time.Time) {
	for _, endpoint := range endpoints {
		server := s.servers[endpoint.ID]
		server.arrive(now)
		until := now.Add(probeTime)
		if server.silent {
			until = now.Add(probeTimeout)
		}
		e.probes = append(e.probes, startProbe{endpoint: endpoint, sentAt: now, until: until})
	}
}

// arrive counts a request or a probe.
func (s *startServer) arrive(now time.Time) {
	if s.silent || now.Before(s.coldUntil) {
		s.arrivals = append(s.arrivals, now)
	}
}

// finish ends the probes and the requests whose time has come.
func (s *startSite) finish(now time.Time) {
	for _, e := range s.entries {
		rest := e.probes[:0]
		for _, p := range e.probes {
			server := s.servers[p.endpoint.ID]
			switch {
			case now.Before(p.until):
				rest = append(rest, p)
			case server.silent:
				e.fleet.EndColdProbe(p.endpoint, place.NotAnswered, now)
			default:
				e.fleet.RecordProbedCold(p.endpoint.ID, max(0, server.coldUntil.Sub(now)), p.sentAt, now)
				e.fleet.EndColdProbe(p.endpoint, place.Answered, now)
			}
		}
		e.probes = rest
	}
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

// expect checks that the server that restarted got at least one and at most the given number of
// requests and probes in any second in which it was cold or silent, and that at least
// a part of the requests was served.
func (s *startSite) expect(atMost int, minPart float64) {
	s.t.Helper()
	arrivals := s.cold().arrivals
	most, from := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[from]) >= coldWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	part := float64(s.placed) / float64(s.placed+s.refused)
	s.t.Logf("the server got %d requests and probes, at most %d in a second; %d of %d requests served", len(arrivals), most, s.placed, s.placed+s.refused)
	if most > atMost {
		s.t.Errorf("the server got %d requests and probes within %s, want at most %d", most, coldWindow, atMost)
	}
	if part < minPart {
		s.t.Errorf("%.4f of the requests were served, want %.4f", part, minPart)
	}
}

// TestServerThatRestartedBeforeAllEntriesIsNotOverloaded guards against entries that all
// start with a list that does not know yet that a server has restarted under its id, and
// send it the usual load until the next list. Each entry adds at most a request and a probe,
// also if they do not hear of each other.
func TestServerThatRestartedBeforeAllEntriesIsNotOverloaded(t *testing.T) {
	for _, announced := range []bool{true, false} {
		t.Run(fmt.Sprintf("announced=%t", announced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStartSite(t, 3, 0, 3, 0, soakArrivals, soakPerSecond)
				s.announced = announced
				s.run(6 * time.Second)
				s.expect(maxSoakRequests, minServed)
			})
		})
	}
}

// TestManyEntriesThatStartDoNotOverloadAServer guards against 70 entries that know nothing
// and choose the same server first: the one with the lowest id, or that a prompt prefix
// prefers, also if half of all prompts have it.
func TestManyEntriesThatStartDoNotOverloadAServer(t *testing.T) {
	for _, c := range []struct {
		prompts, hot bool
		restarted    int
	}{
		{prompts: true, restarted: mostPreferred},
		{prompts: true, hot: true, restarted: hotPreferred},
		{restarted: 0},
		{restarted: 50},
	} {
		for _, announced := range []bool{true, false} {
			t.Run(fmt.Sprintf("prompts=%t/hot=%t/restarted=%d/announced=%t", c.prompts, c.hot, c.restarted, announced), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStartSite(t, coldEntries, startSpread, warmServers+coldServers, c.restarted, coldArrivals, coldPerSecond)
					s.prompts, s.hot = c.prompts, c.hot
					s.announced = announced
					s.run(4 * time.Second)
					s.expect(maxColdRequests, minServed)
				})
			})
		}
	}
}

// TestEntryThatStartsAloneProbesBeforeItSends guards against an entry without others that
// believes that it may send a cold server all that it takes, and against one that serves
// nothing while it asks.
func TestEntryThatStartsAloneProbesBeforeItSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartSite(t, 1, 0, 3, 0, soakArrivals/3, soakPerSecond)
		s.run(coldStart)
		s.expect(2, minServed)
	})
}

// TestServerThatDoesNotAnswerItsProbeGetsOneRequest guards against requests that go on to a
// server that answers nothing, since nothing is known of it.
func TestServerThatDoesNotAnswerItsProbeGetsOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartSite(t, 3, 0, 3, 0, soakArrivals, soakPerSecond)
		s.cold().silent = true
		s.run(2 * time.Second)
		s.expect(2*len(s.entries), 0.97)
	})
}

// TestListThatSaysNothingAboutColdnessIsUsedAsBefore guards against probes and a request to
// each server where the list does not say whether servers are cold: all count as cold then.
func TestListThatSaysNothingAboutColdnessIsUsedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartSite(t, 3, 0, 3, 0, soakArrivals, soakPerSecond)
		s.list = listWithout(s.list)
		s.run(coldStart - startStep)
		s.expect(0, 0)
		if s.placed > 0 {
			t.Errorf("%d requests were placed at servers that count as cold", s.placed)
		}
		s.run(time.Second)
		if s.placed < 70 {
			t.Errorf("%d requests were placed in the second after the cold start", s.placed)
		}
	})
}
