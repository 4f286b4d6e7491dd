package place

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// silenceLimit is how long requests may be at the servers of an upstream without any
	// of these sending anything, before it is asked whether they can be reached.
	silenceLimit = 500 * time.Millisecond
	// unreachableTime is how long a server counts as out of reach after a request could
	// not be sent to it, or its connection broke without an answer.
	unreachableTime = time.Second
	// unreachableDivisor and minUnreachable say how many servers of an upstream must be
	// out of reach for the same question: a part of them, but at least two if there are
	// two.
	unreachableDivisor = 4
	minUnreachable     = 2
	// lostShare is the part of the servers that must be out of reach for the path to count
	// as lost although some answer on connections that were open before.
	lostShare = 0.75
	// othersMargin is how long after the trouble began a server must have answered another
	// entry to show that it reaches the servers. Entries lose their paths together.
	othersMargin = 200 * time.Millisecond
	// freshAnswer is how old such an answer may be.
	freshAnswer = 1500 * time.Millisecond
)

// reach is what this entry knows of its path to the servers of one upstream. Its zero
// value is a path without requests.
type reach struct {
	// inFlight counts the requests at the servers.
	inFlight int
	// answeredAt is when one of them last sent anything; zero if none has.
	answeredAt time.Time
	// silentSince is since when requests are in flight and none of the servers has sent
	// anything; zero if there are none.
	silentSince time.Time
	// unreachable holds the servers to which requests could not be sent, or whose
	// connections broke without an answer, by their ids.
	unreachable map[string]outage
	// cutOffSince is when the entry lost its path to the servers, while others have one;
	// zero at other times.
	cutOffSince time.Time
}

// outage is a time in which a server could not be reached.
type outage struct {
	first, last time.Time
}

// isOver reports whether the server was not tried in vain for a while.
func (o outage) isOver(now time.Time) bool {
	return now.Sub(o.last) > unreachableTime
}

// Path is what an entry knows of its path to the servers of an upstream that does not work.
type Path struct {
	Upstream string
	// CutOff is set if the path is known to be lost, and not the servers.
	CutOff bool
	// Since is when the trouble began.
	Since time.Time
	// Lost is set if no server, or hardly one, can be reached. If only some can't be
	// reached, the others serve.
	Lost bool
}

// reachOf returns the state of the path to an upstream; mu is held.
func (f *Fleet) reachOf(upstream string) *reach {
	if f.paths == nil {
		f.paths = make(map[string]*reach)
	}
	r := f.paths[upstream]
	if r == nil {
		r = &reach{}
		f.paths[upstream] = r
	}
	return r
}

// begin counts a request that is sent now.
func (r *reach) begin(now time.Time) {
	r.inFlight++
	if r.silentSince.IsZero() {
		r.silentSince = now
	}
}

// end counts the end of a request that was sent.
func (r *reach) end() {
	r.inFlight--
	if r.inFlight == 0 {
		r.silentSince = time.Time{}
	}
}

// recordAnswer records that a server has sent something.
func (r *reach) recordAnswer(now time.Time) {
	r.answeredAt = now
	if r.inFlight > 0 {
		r.silentSince = now
	}
}

// recordUnreachable records that a request could not be sent to a server, or that its
// connection broke without an answer.
func (r *reach) recordUnreachable(server string, now time.Time) {
	maps.DeleteFunc(r.unreachable, func(_ string, o outage) bool { return o.isOver(now) })
	if r.unreachable == nil {
		r.unreachable = make(map[string]outage)
	}
	o, known := r.unreachable[server]
	if !known {
		o.first = now
	}
	o.last = now
	r.unreachable[server] = o
}

// isLost reports whether no server, of the given number, or hardly one can be reached.
func (r *reach) isLost(servers int, now time.Time) bool {
	count, _ := r.outages(now)
	return now.Sub(r.answeredAt) >= silenceLimit || float64(count) >= lostShare*float64(servers)
}

// outages returns the number of servers that are out of reach and since when one is.
func (r *reach) outages(now time.Time) (count int, first time.Time) {
	for _, o := range r.unreachable {
		if o.isOver(now) {
			continue
		}
		count++
		if first.IsZero() || o.first.Before(first) {
			first = o.first
		}
	}
	return count, first
}

// brokenSince returns when the path, to the given number of servers, seems to have broken;
// zero if it works.
func (r *reach) brokenSince(servers int, now time.Time) time.Time {
	if !r.silentSince.IsZero() && now.Sub(r.silentSince) >= silenceLimit {
		return r.silentSince
	}
	count, first := r.outages(now)
	if count < max(min(minUnreachable, servers), servers/unreachableDivisor) {
		return time.Time{}
	}
	return first
}

// BrokenPaths returns the upstreams whose servers seem out of reach of this entry: they
// send nothing, requests can't be sent to several of them, or they were found to be cut
// off.
func (f *Fleet) BrokenPaths(now time.Time) []Path {
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []Path
	for upstream, r := range f.paths {
		if r.inFlight == 0 && len(f.available(upstream)) == 0 {
			delete(f.paths, upstream)
			continue
		}
		path := f.path(upstream, now)
		if !path.Since.IsZero() {
			broken = append(broken, path)
		}
	}
	return broken
}

// path returns the state of the path to an upstream; mu is held.
func (f *Fleet) path(upstream string, now time.Time) Path {
	r := f.paths[upstream]
	if r == nil {
		r = &reach{}
	}
	if !r.cutOffSince.IsZero() {
		return Path{Upstream: upstream, CutOff: true, Since: r.cutOffSince}
	}
	servers := f.countTried(upstream, r, now)
	return Path{Upstream: upstream, Since: r.brokenSince(servers, now), Lost: r.isLost(servers, now)}
}

// countTried returns the number of servers of an upstream by which its path is judged. It leaves
// out cold servers to which this entry may send nothing, unless they have failed lately; mu is
// held.
func (f *Fleet) countTried(upstream string, r *reach, now time.Time) int {
	count := 0
	for _, s := range f.available(upstream) {
		o, failed := r.unreachable[s.id]
		f.coldWait(s, now) // updates s.cold.share
		if failed && !o.isOver(now) || !f.isCold(s, now) || s.cold.share > 0 {
			count++
		}
	}
	return count
}

// ProvenSince returns the time after which a server must have answered another entry, so
// that this entry may pass requests to that one.
func (f *Fleet) ProvenSince(upstream string, now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := now.Add(-freshAnswer)
	since := f.path(upstream, now).Since
	if since.IsZero() || since.Add(othersMargin).Before(fresh) {
		return fresh
	}
	return since.Add(othersMargin)
}

// available returns the servers of an upstream that are neither leaving nor in an evacuated
// failure domain; mu is held.
func (f *Fleet) available(upstream string) []*server {
	u := f.upstreams[upstream]
	if u == nil {
		return nil
	}
	var servers []*server
	for _, s := range u.servers {
		if !s.leaving && !f.isEvacuated(s) {
			servers = append(servers, s)
		}
	}
	return servers
}

// IsCutOff reports whether this entry has no path to the servers of an upstream, although
// others have.
func (f *Fleet) IsCutOff(upstream string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.paths[upstream]
	return r != nil && !r.cutOffSince.IsZero()
}

// CutOff records that this entry has no path to the servers of an upstream since the given
// time, although others have.
func (f *Fleet) CutOff(upstream string, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachOf(upstream).cutOffSince = since
}

// Reached records that the servers of an upstream have answered this entry again. What
// failed while they were out of reach says nothing about them.
func (f *Fleet) Reached(upstream string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.reachOf(upstream)
	if !r.cutOffSince.IsZero() {
		for _, s := range f.available(upstream) {
			s.readmit()
			s.cold.forgetUnreachable()
			f.isCold(s, now)
		}
	}
	r.cutOffSince = time.Time{}
	r.unreachable = nil
	r.recordAnswer(now)
}

// AnsweredAt returns when a server of an upstream last sent this entry anything; zero if
// none has.
func (f *Fleet) AnsweredAt(upstream string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.paths[upstream]
	if r == nil {
		return time.Time{}
	}
	return r.answeredAt
}

// Endpoint is the id and the address of a server.
type Endpoint struct {
	ID      string
	Address string
	// Upstream is the server's upstream.
	Upstream string
	// ConnectOnly is set if the server is cold and must get no request of this entry now.
	ConnectOnly bool
}

// Endpoints returns at most count random servers of an upstream that are neither leaving nor
// in an evacuated failure domain, and want requests now. A probe of a cold one counts against
// this entry's share.
func (f *Fleet) Endpoints(upstream string, count int, now time.Time) []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := slices.DeleteFunc(f.available(upstream), func(s *server) bool { return now.Before(s.heldOffUntil) })
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	var endpoints []Endpoint
	for _, s := range servers[:min(count, len(servers))] {
		wait := f.coldWait(s, now)
		if wait == 0 {
			f.takePathProbe(s, now)
		}
		endpoints = append(endpoints, Endpoint{ID: s.id, Address: s.address, Upstream: upstream, ConnectOnly: wait > 0})
	}
	return endpoints
}

// PickPeer places a request at the entry among peers, given by their addresses, that has
// fewest of this entry's requests and has not failed. It returns nil if there is none. The
// caller must call Done on the placement.
func (f *Fleet) PickPeer(peers, tried []string, now time.Time) *Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers == nil {
		f.peers = make(map[string]*server)
	}
	maps.DeleteFunc(f.peers, func(address string, s *server) bool {
		return s.inFlight == 0 && !slices.Contains(peers, address)
	})
	var chosen *server
	for _, i := range rand.Perm(len(peers)) {
		s := f.peer(peers[i])
		if slices.Contains(tried, s.id) || s.isEjected(now) {
			continue
		}
		if chosen == nil || s.inFlight < chosen.inFlight {
			chosen = s
		}
	}
	if chosen == nil {
		return nil
	}
	chosen.inFlight++
	return &Placement{ID: chosen.id, Address: chosen.address, Peer: true, StartedAt: now, fleet: f, server: chosen}
}

// peer returns the state of the entry at an address; mu is held.
func (f *Fleet) peer(address string) *server {
	s := f.peers[address]
	if s == nil {
		s = &server{id: address, address: address}
		f.peers[address] = s
	}
	return s
}
