package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const (
	shared  = 1
	culprit = 2
	subject = 3
	// bystander is a segment of prompts that no crash concerns.
	bystander = 4
	second    = time.Second
)

// start is when the tests begin.
var start = time.Unix(1000, 0)

// at returns the time that is offset after start.
func at(offset time.Duration) time.Time {
	return start.Add(offset)
}

// prefix returns the segments with the given ids.
func prefix(ids ...uint64) []Key {
	var keys []Key
	for _, id := range ids {
		keys = append(keys, Segment(id))
	}
	return keys
}

// suspects returns suspects with the given keys, whose requests were sent at one time.
func suspects(sentAt time.Time, keys ...Key) []Suspect {
	var result []Suspect
	for _, key := range keys {
		result = append(result, Suspect{Key: key, SentAt: sentAt})
	}
	return result
}

// crashServers records crashes of count servers under the given segments, interval apart
// from the given offset on, while answers on another segment go on.
func crashServers(r *Registry, count int, from, interval time.Duration, segments ...uint64) {
	for i := range count {
		r.RecordProgress(prefix(bystander), at(from+time.Duration(i)*interval-time.Millisecond))
		r.RecordCrash(fmt.Sprintf("i-%s-%d", from, i), suspects(at(from+time.Duration(i)*interval), prefix(segments...)...), at(from+time.Duration(i)*interval))
	}
}

// expectQuarantined checks which of some segments are in quarantine.
func expectQuarantined(t *testing.T, r *Registry, now time.Duration, want map[uint64]bool) {
	t.Helper()
	for id, quarantined := range want {
		got := r.Remaining(prefix(id), at(now)) > 0
		if got != quarantined {
			t.Errorf("segment %d: quarantined %v, want %v", id, got, quarantined)
		}
	}
}

// TestSegmentUnderWhichServersCrashIsQuarantined guards against prompts that crash one
// server after the other, and against the quarantine of the segments that they share
// with sound ones.
func TestSegmentUnderWhichServersCrashIsQuarantined(t *testing.T) {
	var r Registry
	for i := range 3 {
		offset := time.Duration(i) * second
		r.RecordProgress(prefix(shared, subject), at(offset))
		r.RecordCrash(fmt.Sprint("i-", i), suspects(at(offset+second/2), prefix(shared, culprit)...), at(offset+second/2))
	}
	expectQuarantined(t, &r, 3*second, map[uint64]bool{shared: false, culprit: true, subject: false})
}

func TestTwoCrashesConvictNoSegment(t *testing.T) {
	var r Registry
	crashServers(&r, 2, 0, second, culprit)
	expectQuarantined(t, &r, 3*second, map[uint64]bool{culprit: false})
}

// TestServersThatEndTogetherConvictNoSegment guards against the quarantine of sound
// segments after a failure domain, or the path to it, is lost.
func TestServersThatEndTogetherConvictNoSegment(t *testing.T) {
	var r Registry
	crashServers(&r, 12, 0, time.Millisecond, shared)
	crashServers(&r, 12, 10*second, time.Millisecond, shared)
	expectQuarantined(t, &r, 11*second, map[uint64]bool{shared: false})
}

// TestServersThatAreAllDownConvictNoSegment guards against the quarantine of every popular
// segment while no server answers, and its requests find one after another down.
func TestServersThatAreAllDownConvictNoSegment(t *testing.T) {
	var r Registry
	r.RecordProgress(prefix(shared), at(0))
	for i := range 10 {
		r.RecordCrash(fmt.Sprint("i-", i), suspects(at(time.Duration(1+i)*second), prefix(shared, subject)...), at(time.Duration(1+i)*second))
	}
	expectQuarantined(t, &r, 11*second, map[uint64]bool{shared: false, subject: false})
}

// TestNewEntryDoesNotOverruleTheOthers guards against an entry that has just started, does
// not know of the answers on a segment, and has it refused everywhere.
func TestNewEntryDoesNotOverruleTheOthers(t *testing.T) {
	var started, known Registry
	known.RecordProgress(prefix(shared), at(0))
	crashServers(&started, 3, second, second, shared)
	expectQuarantined(t, &started, 4*second, map[uint64]bool{shared: true})
	known.Announce = func(evidence []Evidence) { started.Merge(evidence, at(5*second)) }
	known.Merge(started.Sample(8, at(5*second)), at(5*second))
	expectQuarantined(t, &started, 5*second, map[uint64]bool{shared: false})
	expectQuarantined(t, &known, 5*second, map[uint64]bool{shared: false})
}

// TestOneServerConvictsNoSegment guards against the quarantine of a sound segment whose
// preferred server resets connections.
func TestOneServerConvictsNoSegment(t *testing.T) {
	var r Registry
	for i := range 10 {
		r.RecordCrash("i-1", suspects(at(time.Duration(i)*second), prefix(subject)...), at(time.Duration(i)*second))
	}
	expectQuarantined(t, &r, 10*second, map[uint64]bool{subject: false})
}

func TestProvenSegmentNeedsMoreCrashes(t *testing.T) {
	var r Registry
	r.RecordProgress(prefix(shared), at(0))
	crashServers(&r, 4, second, second, shared)
	expectQuarantined(t, &r, 6*second, map[uint64]bool{shared: false})
	crashServers(&r, 1, 7*second, second, shared)
	expectQuarantined(t, &r, 8*second, map[uint64]bool{shared: true})
}

func TestAnswerThatGoesOnEndsTheQuarantine(t *testing.T) {
	var r Registry
	crashServers(&r, 3, 0, second, subject)
	expectQuarantined(t, &r, 3*second, map[uint64]bool{subject: true})
	r.RecordProgress(prefix(subject), at(4*second))
	expectQuarantined(t, &r, 4*second, map[uint64]bool{subject: false})
	crashServers(&r, 2, 5*second, second, subject)
	expectQuarantined(t, &r, 8*second, map[uint64]bool{subject: false})
}

// TestEntriesThatSeeOneCrashEachConvictTogether guards against evidence that each entry
// keeps to itself.
func TestEntriesThatSeeOneCrashEachConvictTogether(t *testing.T) {
	entries := make([]Registry, 3)
	for i := range entries {
		entries[i].Announce = func(evidence []Evidence) {
			for j := range entries {
				if j != i {
					entries[j].Merge(evidence, at(time.Duration(i)*second))
				}
			}
		}
	}
	for i := range entries {
		for j := range entries {
			entries[j].RecordProgress(prefix(bystander), at(time.Duration(i)*second))
		}
		entries[i].RecordCrash(fmt.Sprint("i-", i), suspects(at(time.Duration(i)*second), prefix(culprit)...), at(time.Duration(i)*second))
	}
	for i := range entries {
		expectQuarantined(t, &entries[i], 3*second, map[uint64]bool{culprit: true})
	}
}

// TestNewEntryLearnsTheQuarantine guards against an entry that starts, or was cut off,
// and sends prompts that crash servers.
func TestNewEntryLearnsTheQuarantine(t *testing.T) {
	var known, started Registry
	crashServers(&known, 3, 0, second, culprit)
	started.Merge(known.Sample(8, at(time.Minute)), at(time.Minute))
	expectQuarantined(t, &started, time.Minute, map[uint64]bool{culprit: true})
	remaining := started.Remaining(prefix(culprit), at(time.Minute))
	if want := Duration - time.Minute + 2*second; remaining != want {
		t.Errorf("%s of the quarantine remain, want %s", remaining, want)
	}
}

// TestEntryThatKnowsBetterRejectsAVerdict checks that an entry on which an answer went on
// since does not learn a quarantine, and tells the others.
func TestEntryThatKnowsBetterRejectsAVerdict(t *testing.T) {
	var wrong, right Registry
	crashServers(&wrong, 3, 0, second, subject)
	right.RecordProgress(prefix(subject), at(3*second))
	right.Announce = func(evidence []Evidence) { wrong.Merge(evidence, at(4*second)) }
	right.Merge(wrong.Sample(8, at(4*second)), at(4*second))
	for _, r := range []*Registry{&wrong, &right} {
		expectQuarantined(t, r, 5*second, map[uint64]bool{subject: false})
	}
}

// TestRepeatedEvidenceCountsOnce checks that evidence which travels to and fro neither
// adds crashes nor moves them.
func TestRepeatedEvidenceCountsOnce(t *testing.T) {
	var a, b Registry
	crashServers(&a, 2, 0, second, subject)
	for i := range 50 {
		now := at(2*second + time.Duration(i)*100*time.Millisecond)
		b.Merge(a.Sample(8, now), now.Add(5*time.Millisecond))
		a.Merge(b.Sample(8, now.Add(5*time.Millisecond)), now.Add(10*time.Millisecond))
	}
	expectQuarantined(t, &a, 8*second, map[uint64]bool{subject: false})
	expectQuarantined(t, &b, 8*second, map[uint64]bool{subject: false})
	first := b.records[Segment(subject)].crashes[0].at
	if drift := first.Sub(at(0)); drift > 5*time.Millisecond {
		t.Errorf("the first crash moved by %s", drift)
	}
}

func TestQuarantineExpires(t *testing.T) {
	var r Registry
	crashServers(&r, 3, 0, second, culprit)
	expectQuarantined(t, &r, Duration+3*second, map[uint64]bool{culprit: false})
	if r.Count() != 0 {
		t.Errorf("%d segments in quarantine, want 0", r.Count())
	}
}

// TestMemoryForSegmentsIsBounded guards against callers that fill the memory of an entry
// with segment ids.
func TestMemoryForSegmentsIsBounded(t *testing.T) {
	var r Registry
	crashServers(&r, 3, 0, second, culprit)
	for id := range uint64(3 * maxSegments) {
		r.RecordProgress(prefix(100+id), at(4*second))
	}
	if len(r.records) > maxSegments {
		t.Errorf("%d segments are remembered, at most %d allowed", len(r.records), maxSegments)
	}
	expectQuarantined(t, &r, 5*second, map[uint64]bool{culprit: true})
}

// TestCulpritExplainsTheCrashesOfItsNeighbors guards against the quarantine of a sound
// segment that prompts with the culprit share, whose own requests are rare.
func TestCulpritExplainsTheCrashesOfItsNeighbors(t *testing.T) {
	var r Registry
	r.RecordProgress(prefix(shared, subject), at(0))
	crashServers(&r, 8, second, second, shared, subject, culprit)
	expectQuarantined(t, &r, 10*second, map[uint64]bool{shared: false, subject: false, culprit: true})
	if crashes := len(r.records[Segment(subject)].crashes); crashes != 0 {
		t.Errorf("%d crashes are left against the sound segment, want 0", crashes)
	}
}

// crashUnder records the crash of a server under a request that was sent to it some time
// before.
func crashUnder(r *Registry, server string, sentAt, crashedAt time.Duration, digest Request) {
	r.RecordCrash(server, suspects(at(sentAt), digest), at(crashedAt))
}

// TestRepeatsThatEndAllServersAreQuarantined guards against a request that ends all servers
// of a small service, one right after the other, so that no other answer goes on between.
func TestRepeatsThatEndAllServersAreQuarantined(t *testing.T) {
	var r Registry
	crashUnder(&r, "i-0", 0, 40*time.Millisecond, culprit)
	crashUnder(&r, "i-1", 41*time.Millisecond, 85*time.Millisecond, culprit)
	if r.Remaining([]Key{Request(culprit)}, at(second)) != 0 {
		t.Error("two crashes suffice")
	}
	crashUnder(&r, "i-2", 90*time.Millisecond, 130*time.Millisecond, culprit)
	if r.Remaining([]Key{Request(culprit)}, at(second)) == 0 {
		t.Error("the request isn't in quarantine")
	}
	if r.Remaining(prefix(culprit), at(second)) != 0 {
		t.Error("the segment with the number of the request is in quarantine")
	}
}

// TestServersThatEndTogetherConvictNoRequest guards against the quarantine of a sound
// request that is at all servers when they end at the same moment.
func TestServersThatEndTogetherConvictNoRequest(t *testing.T) {
	var r Registry
	for i := range 5 {
		crashUnder(&r, fmt.Sprint("i-", i), 0, time.Duration(10+i)*time.Millisecond, subject)
	}
	if r.Count() != 0 {
		t.Error("the request is in quarantine")
	}
}

// TestAnsweredRequestNeedsMoreCrashes guards against the quarantine of a sound request that
// is often sent and loses a few servers in a row.
func TestAnsweredRequestNeedsMoreCrashes(t *testing.T) {
	var r Registry
	r.RecordProgress([]Key{Request(subject)}, at(0))
	for i := range 4 {
		crashUnder(&r, fmt.Sprint("i-", i), time.Duration(i+1)*second, time.Duration(i+1)*second+second/2, subject)
	}
	if r.Count() != 0 {
		t.Error("the request is in quarantine after four crashes")
	}
	crashUnder(&r, "i-5", 6*second, 7*second, subject)
	if r.Count() != 1 {
		t.Error("the request isn't in quarantine after five crashes")
	}
}

// TestServerThatStartsAgainUnderItsIDCounts guards against a request that ends the only
// server of a service, which keeps its id, again and again.
func TestServerThatStartsAgainUnderItsIDCounts(t *testing.T) {
	var r Registry
	for i := range 3 {
		begin := time.Duration(3*i) * second
		crashUnder(&r, "i-0", begin, begin+second/10, culprit)
		// Another entry notices the same end somewhat later.
		r.Merge([]Evidence{Crash{Key: Request(culprit), Server: ServerNumber("i-0"), SentAge: 100 * time.Millisecond}}, at(begin+second/5))
		if crashes := len(r.records[Request(culprit)].crashes); crashes != i+1 {
			t.Errorf("%d crashes are known after %d", crashes, i+1)
		}
	}
	if r.Count() != 1 {
		t.Error("the request isn't in quarantine")
	}
}
