package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simulationServers = 18
	simulationEntries = 7
	// plainServers is the number of servers of a plain service, few enough that they are
	// often all down.
	plainServers       = 3
	simulationSubjects = 40
	// culpritDelay is when the first prompt with the culprit comes.
	culpritDelay = 5 * time.Second
	// neighbor is a sound segment that all prompts with the culprit have.
	neighbor       = 10
	simulationTime = 60 * time.Second
	simulationStep = 10 * time.Millisecond
	// The chances of a sound request and of one that crashes servers in each step.
	soundPerStep    = 0.9
	culpritPerStep  = 0.06
	timeToFirst     = 120 * time.Millisecond
	serverDowntime  = 3 * time.Second
	datagramLoss    = 0.1
	massEndInterval = 9 * time.Second
	// entryRestartInterval is the time between two restarts of an entry.
	entryRestartInterval = 4 * time.Second
	repeatInterval       = 250 * time.Millisecond
	repeatLimit          = 32
	// popularRequests are the requests that callers send again and again, and
	// popularShare the share of these.
	popularRequests = 12
	popularShare    = 0.5
	plainTime       = 30 * time.Millisecond
	culpritTime     = 100 * time.Millisecond
	// callerAttempts is how often an entry and a caller send a request that got no
	// answer, and callerDelay the longest time until a caller sends it again.
	callerAttempts = 4
	callerDelay    = 200 * time.Millisecond
	// From contactTime after segmentFreeCrashes servers have crashed under a segment, or
	// requestFreeCrashes under a request, at most maxLateRequests with it may be sent.
	segmentFreeCrashes = 5
	requestFreeCrashes = 3
	contactTime        = 3 * time.Second
	maxLateRequests    = 3
)

// simulation plays entries that share evidence by datagrams, some of which are lost, in
// front of servers that crash under one key and end for other reasons too.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	culprit Key
	entries []*Registry
	// down holds when each server is up again, and runs how often it has started.
	down []time.Time
	runs []int
	// keepsIDs is set if servers start again under their ids.
	keepsIDs bool
	waiting  []waitingRequest
	// repeats are requests that callers send again.
	repeats []repeatedRequest
	sent    []sentEvidence
	// crashes counts the servers that crashed under the culprit; recognized is when the
	// entries must refuse it, and late counts the requests with it that they sent after
	// that.
	crashes    int
	recognized time.Time
	late       int
}

// sentEvidence is evidence on its way from an entry to all others.
type sentEvidence struct {
	from     int
	evidence []Evidence
}

// waitingRequest is a request whose answer has not begun.
type waitingRequest struct {
	entry, server int
	keys          []Key
	sentAt        time.Time
	begins        time.Time
	// attempts is how often the request may be sent again.
	attempts int
}

// repeatedRequest is a request that a caller sends again at the given time.
type repeatedRequest struct {
	at       time.Time
	keys     []Key
	attempts int
}

// newSimulation returns a simulation with a number of servers whose random choices depend
// on seed.
func newSimulation(seed uint64, servers int, culprit Key) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: start, culprit: culprit, keepsIDs: seed%2 == 1}
	s.down = make([]time.Time, servers)
	s.runs = make([]int, servers)
	s.entries = make([]*Registry, simulationEntries)
	for i := range s.entries {
		s.restart(i)
	}
	return s
}

// restart starts an entry that knows nothing.
func (s *simulation) restart(entry int) {
	r := &Registry{}
	r.Announce = func(evidence []Evidence) { s.sent = append(s.sent, sentEvidence{from: entry, evidence: evidence}) }
	s.entries[entry] = r
}

// deliver delivers the evidence that was sent, but for the datagrams that are lost.
func (s *simulation) deliver() {
	sent := s.sent
	s.sent = nil
	for _, message := range sent {
		for i, r := range s.entries {
			if i != message.from && s.random.Float64() >= datagramLoss {
				r.Merge(message.evidence, s.now)
			}
		}
	}
}

// repeat lets each entry repeat its evidence to the others.
func (s *simulation) repeat() {
	for i, r := range s.entries {
		s.sent = append(s.sent, sentEvidence{from: i, evidence: r.Sample(repeatLimit, s.now)})
	}
}

// request sends a request with the given keys from a random entry to a random server that
// is up, unless the entry refuses it. It may be sent again the given number of times.
func (s *simulation) request(wait time.Duration, attempts int, keys ...Key) {
	s.sendFrom(s.random.IntN(simulationEntries), wait, attempts, keys)
}

// sendFrom sends a request from an entry, as request does.
func (s *simulation) sendFrom(entry int, wait time.Duration, attempts int, keys []Key) {
	server := s.random.IntN(len(s.down))
	if s.now.Before(s.down[server]) || s.entries[entry].Remaining(keys, s.now) > 0 {
		return
	}
	if slices.Contains(keys, s.culprit) && !s.recognized.IsZero() && s.now.After(s.recognized) {
		s.late++
	}
	s.waiting = append(s.waiting, waitingRequest{entry: entry, server: server, keys: keys, sentAt: s.now, begins: s.now.Add(wait), attempts: attempts})
}

// randomWait returns a random time until an answer of an engine begins.
func (s *simulation) randomWait() time.Duration {
	return time.Duration(s.random.Int64N(int64(2 * timeToFirst)))
}

// step lets answers begin, and servers crash under the culprit.
func (s *simulation) step() {
	due := s.waiting
	s.waiting = nil
	for _, w := range due {
		switch {
		case s.now.Before(w.begins):
			s.waiting = append(s.waiting, w)
		case s.now.Before(s.down[w.server]):
		case slices.Contains(w.keys, s.culprit):
			s.crash(w)
		default:
			s.entries[w.entry].RecordProgress(w.keys, s.now)
		}
	}
	s.sendAgain()
	s.deliver()
	if s.now.Sub(start)%repeatInterval == 0 {
		s.repeat()
	}
	s.now = s.now.Add(simulationStep)
}

// crash ends the server of a request with the culprit.
func (s *simulation) crash(w waitingRequest) {
	s.crashes++
	free := segmentFreeCrashes
	if _, ok := s.culprit.(Request); ok {
		free = requestFreeCrashes
	}
	if s.crashes == free {
		s.recognized = s.now.Add(contactTime)
	}
	s.lose(w)
	s.end(w.server)
}

// lose records that the server of a request has ended, and sends the request again.
func (s *simulation) lose(w waitingRequest) {
	r := s.entries[w.entry]
	r.RecordCrash(s.serverID(w.server), suspects(w.sentAt, w.keys...), s.now)
	if w.attempts == 0 {
		return
	}
	s.repeats = append(s.repeats, repeatedRequest{at: s.now.Add(time.Duration(s.random.Int64N(int64(callerDelay)))), keys: w.keys, attempts: w.attempts - 1})
}

// sendAgain sends the repeats that are due.
func (s *simulation) sendAgain() {
	due := s.repeats
	s.repeats = nil
	for _, r := range due {
		if s.now.Before(r.at) {
			s.repeats = append(s.repeats, r)
			continue
		}
		s.request(plainTime, r.attempts, r.keys...)
	}
}

// serverID returns the instance id of a server's current run.
func (s *simulation) serverID(server int) string {
	if s.keepsIDs {
		return fmt.Sprint("i-", server)
	}
	return fmt.Sprintf("i-%d-%d", server, s.runs[server])
}

// end ends a server; every entry sees the connections of its waiting requests close.
func (s *simulation) end(server int) {
	for _, w := range s.waiting {
		if w.server == server && s.now.Before(w.begins) {
			s.lose(w)
		}
	}
	s.down[server] = s.now.Add(serverDowntime)
	s.runs[server]++
}

// play plays a day in which traffic sends requests in each step, entries restart, and the
// given number of servers end together every massEndInterval. It checks that the culprit is refused in
// time and that nothing else is ever in quarantine.
func (s *simulation) play(t *testing.T, seed uint64, massEnd int, traffic func()) {
	t.Helper()
	nextMassEnd := start.Add(massEndInterval)
	for s.now.Sub(start) < simulationTime {
		traffic()
		if s.now.After(nextMassEnd) {
			nextMassEnd = s.now.Add(massEndInterval)
			for server := range massEnd {
				s.end(server)
			}
		}
		if s.now.Sub(start)%entryRestartInterval == 0 {
			s.restart(s.random.IntN(simulationEntries))
		}
		s.step()
		for i, r := range s.entries {
			for key, known := range r.active {
				if key != s.culprit && !known.quarantinedAt.IsZero() {
					t.Fatalf("seed %d: entry %d has the sound key %v in quarantine", seed, i, key)
				}
			}
		}
	}
	if s.late > maxLateRequests {
		t.Errorf("seed %d: %d requests were sent later than %s after the free crashes, %d in all", seed, s.late, contactTime, s.crashes)
	}
}

// TestOnlyTheCulpritIsQuarantined plays random days with many ends of servers, and checks
// that the culprit is refused in time and that no sound segment is in quarantine.
func TestOnlyTheCulpritIsQuarantined(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(seed, simulationServers, Segment(culprit))
		s.play(t, seed, simulationServers/3, func() {
			if s.random.Float64() < soundPerStep {
				s.request(s.randomWait(), 0, prefix(shared, 10+s.random.Uint64N(simulationSubjects))...)
			}
			if s.now.Sub(start) > culpritDelay && s.random.Float64() < culpritPerStep {
				s.request(s.randomWait(), 0, prefix(shared, neighbor, culprit)...)
			}
		})
	}
}

// TestOnlyTheRequestThatCrashesServersIsQuarantined plays random days at a plain service of
// three servers that at times all end together, with requests that are repeated after a
// failure, and checks that the one that crashes servers is refused in time and no other
// ever is.
func TestOnlyTheRequestThatCrashesServersIsQuarantined(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(seed, plainServers, Request(culprit))
		s.play(t, seed, 1+int(seed%plainServers), func() {
			if s.random.Float64() < soundPerStep {
				s.request(plainTime, callerAttempts, s.soundRequest())
			}
			if s.now.Sub(start) > culpritDelay && s.random.Float64() < culpritPerStep {
				s.request(culpritTime, callerAttempts, s.culprit)
			}
		})
	}
}

// soundRequest returns the key of a request that is often sent, or of a new one.
func (s *simulation) soundRequest() Key {
	if s.random.Float64() < popularShare {
		return Request(100 + s.random.Uint64N(popularRequests))
	}
	return Request(1000 + s.random.Uint64())
}
