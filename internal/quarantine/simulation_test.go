package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	simulationServers  = 18
	simulationEntries  = 7
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
	repeatInterval  = 250 * time.Millisecond
	repeatLimit     = 32
	// From contactTime after freeCrashes servers have crashed under a segment, at most
	// maxLateRequests with it may be sent.
	freeCrashes     = 5
	contactTime     = 3 * time.Second
	maxLateRequests = 3
)

// simulation plays entries that share evidence by datagrams, some of which are lost, in
// front of servers that crash under one segment and end for other reasons too.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	entries []*Registry
	// down holds when each server is up again, and runs how often it has started.
	down    [simulationServers]time.Time
	runs    [simulationServers]int
	waiting []waitingRequest
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
	segments      []place.PrefixSegment
	begins        time.Time
}

// newSimulation returns a simulation whose random choices depend on seed.
func newSimulation(seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: start}
	for i := range simulationEntries {
		r := &Registry{}
		r.Announce = func(evidence []Evidence) { s.sent = append(s.sent, sentEvidence{from: i, evidence: evidence}) }
		s.entries = append(s.entries, r)
	}
	return s
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

// request sends a request from a random entry to a random server that is up, unless the
// entry refuses it.
func (s *simulation) request(ids ...uint64) {
	entry, server := s.random.IntN(simulationEntries), s.random.IntN(simulationServers)
	segments := prefix(ids...)
	if s.now.Before(s.down[server]) || s.entries[entry].Remaining(segments, s.now) > 0 {
		return
	}
	if ids[len(ids)-1] == culprit && s.crashes >= freeCrashes && s.now.After(s.recognized) {
		s.late++
	}
	wait := time.Duration(s.random.Int64N(int64(2 * timeToFirst)))
	s.waiting = append(s.waiting, waitingRequest{entry: entry, server: server, segments: segments, begins: s.now.Add(wait)})
}

// step lets answers begin, and servers crash under the culprit.
func (s *simulation) step() {
	var still []waitingRequest
	for _, w := range s.waiting {
		switch {
		case s.now.Before(w.begins):
			still = append(still, w)
		case s.now.Before(s.down[w.server]):
		case w.segments[len(w.segments)-1].ID == culprit:
			s.crashes++
			if s.crashes == freeCrashes {
				s.recognized = s.now.Add(contactTime)
			}
			s.end(w.server)
			s.entries[w.entry].RecordCrash(s.serverID(w.server), w.segments, s.now)
		default:
			s.entries[w.entry].RecordProgress(w.segments, s.now)
		}
	}
	s.waiting = still
	s.deliver()
	if s.now.Sub(start)%repeatInterval == 0 {
		s.repeat()
	}
	s.now = s.now.Add(simulationStep)
}

// serverID returns the instance id of a server's current run.
func (s *simulation) serverID(server int) string {
	return fmt.Sprintf("i-%d-%d", server, s.runs[server])
}

// end ends a server; every entry sees the connections of its waiting requests close.
func (s *simulation) end(server int) {
	for _, w := range s.waiting {
		if w.server == server && s.now.Before(w.begins) {
			s.entries[w.entry].RecordCrash(s.serverID(server), w.segments, s.now)
		}
	}
	s.down[server] = s.now.Add(serverDowntime)
	s.runs[server]++
}

// TestOnlyTheCulpritIsQuarantined plays random days with many ends of servers, and checks
// that the culprit is refused in time and that no sound segment is in quarantine.
func TestOnlyTheCulpritIsQuarantined(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(seed)
		nextMassEnd := start.Add(massEndInterval)
		for s.now.Sub(start) < simulationTime {
			if s.random.Float64() < soundPerStep {
				s.request(shared, 10+s.random.Uint64N(simulationSubjects))
			}
			if s.now.Sub(start) > culpritDelay && s.random.Float64() < culpritPerStep {
				s.request(shared, neighbor, culprit)
			}
			if s.now.After(nextMassEnd) {
				nextMassEnd = s.now.Add(massEndInterval)
				for server := range simulationServers / 3 {
					s.end(server)
				}
			}
			s.step()
		}
		if s.late > maxLateRequests {
			t.Errorf("seed %d: %d requests were sent later than %s after %d servers had crashed, %d in all", seed, s.late, contactTime, freeCrashes, s.crashes)
		}
		for i, r := range s.entries {
			for id, known := range r.segments {
				if id != culprit && !known.quarantinedAt.IsZero() {
					t.Errorf("seed %d: entry %d has the sound segment %d in quarantine", seed, i, id)
				}
			}
		}
	}
}
