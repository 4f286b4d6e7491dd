package gossip

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/place"
)

// waitLimit bounds how long a test waits for datagrams on a busy machine.
const waitLimit = 10 * time.Second

// startSite starts count gossipers that know each other.
func startSite(t *testing.T, count int) []*Gossiper {
	t.Helper()
	var site []*Gossiper
	var addresses []string
	for range count {
		g, _ := startGossiper(t, 0)
		site = append(site, g)
		addresses = append(addresses, g.Address)
	}
	for _, g := range site {
		g.SetPeers(addresses)
	}
	return site
}

// contextWithTimeout returns a context of the test that ends after timeout.
func contextWithTimeout(t *testing.T, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), timeout)
}

// deadAddresses returns addresses at which no entry listens.
func deadAddresses(t *testing.T, count int) []string {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := socket.LocalAddr().(*net.UDPAddr).Port
	_ = socket.Close()
	var addresses []string
	for i := range count {
		addresses = append(addresses, fmt.Sprintf("127.0.1.%d:%d", i+1, port))
	}
	return addresses
}

// copyHolders returns the gossipers of site that keep a copy of a stream that
// began at first.
func copyHolders(site []*Gossiper, first *Gossiper, attempt string) []*Gossiper {
	var holders []*Gossiper
	for _, keeper := range keepers(attempt, first.peerAddresses(), copies) {
		i := slices.IndexFunc(site, func(g *Gossiper) bool { return g.Address == keeper.String() })
		holders = append(holders, site[i])
	}
	return holders
}

// waitForCopies waits until the copies of a stream have arrived.
func waitForCopies(t *testing.T, holders []*Gossiper, attempt string) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for _, holder := range holders {
		for {
			_, known := holder.origins.lookup(attempt, time.Now())
			if known {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("the copy of stream %s hasn't arrived within %s", attempt, waitLimit)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// expectOrigin asks g until it knows the origin of an attempt, because a busy
// machine may delay answers. A wrong origin fails at once.
func expectOrigin(t *testing.T, g *Gossiper, attempt, want string) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		origin, known := g.OriginOf(t.Context(), attempt)
		if known && origin != want {
			t.Fatalf("stream %s began at origin %q, want %q", attempt, origin, want)
		}
		if known {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the origin of stream %s is unknown after %s", attempt, waitLimit)
		}
	}
}

// All entries must know where a stream began.
func TestOriginIsKnownEverywhere(t *testing.T) {
	for _, entries := range []int{1, 2, 3, 8} {
		site := startSite(t, entries)
		for i, first := range site {
			attempt := fmt.Sprintf("attempt-%d", i)
			origin := fmt.Sprintf("v%d", i)
			first.Began(attempt, origin)
			for _, g := range site {
				expectOrigin(t, g, attempt, origin)
			}
		}
	}
}

// The other entries must know the origin after the entry where the stream began
// was killed, whether or not they still count it.
func TestOriginOutlivesItsEntry(t *testing.T) {
	for _, counted := range []bool{true, false} {
		for i := range 8 {
			site := startSite(t, 6)
			attempt := fmt.Sprintf("attempt-%d", i)
			first := site[0]
			first.Began(attempt, "v2")
			waitForCopies(t, copyHolders(site, first, attempt), attempt)
			first.Close()
			for _, g := range site[1:] {
				if !counted {
					g.SetPeers(addressesOf(site[1:]))
				}
				expectOrigin(t, g, attempt, "v2")
			}
		}
	}
}

// The origin must survive the loss of the first entry and one keeper.
func TestOriginOutlivesOneKeeper(t *testing.T) {
	for lost := range copies {
		site := startSite(t, 6)
		site[0].Began("a", "v2")
		holders := copyHolders(site, site[0], "a")
		waitForCopies(t, holders, "a")
		site[0].Close()
		holders[lost].Close()
		for _, g := range site[1:] {
			if g != holders[lost] {
				expectOrigin(t, g, "a", "v2")
			}
		}
	}
}

// addressesOf returns the addresses of gossipers.
func addressesOf(site []*Gossiper) []string {
	var addresses []string
	for _, g := range site {
		addresses = append(addresses, g.Address)
	}
	return addresses
}

// If no keeper has a copy, the query must reach the only entry that knows.
func TestLostKeepersFallBackToAllPeers(t *testing.T) {
	site := startSite(t, 8)
	// Restarted keepers answer that they know nothing; killed ones are silent.
	for _, killed := range []bool{false, true} {
		attempt := fmt.Sprintf("attempt-%t", killed)
		keeping := keepers(attempt, append(site[0].peerAddresses(), netip.MustParseAddrPort(site[0].Address)), askedKeepers)
		var others []*Gossiper
		for _, g := range site {
			if !slices.Contains(keeping, netip.MustParseAddrPort(g.Address)) {
				others = append(others, g)
			} else if killed {
				g.Close()
			}
		}
		others[0].remember(attempt, "v3")
		for _, g := range others[1:] {
			expectOrigin(t, g, attempt, "v3")
		}
		if killed {
			return
		}
	}
}

// An attempt that no entry knows must be unknown before any timeout, because all
// entries say so. A busy machine may delay one query, but not all.
func TestUnknownAttemptEndsEarly(t *testing.T) {
	site := startSite(t, 6)
	best := waitLimit
	for i := range 200 {
		start := time.Now()
		origin, known := site[0].OriginOf(t.Context(), fmt.Sprintf("unknown-%d", i))
		if known {
			t.Fatalf("origin %q is known, want it unknown", origin)
		}
		best = min(best, time.Since(start))
	}
	if best >= streamAnswerTimeout {
		t.Errorf("the fastest query took %s, want less than %s", best, streamAnswerTimeout)
	}
}

// A second origin of an attempt must not replace the first, at any entry.
func TestSecondOriginIsIgnored(t *testing.T) {
	site := startSite(t, 4)
	site[0].Began("a", "v1")
	waitForCopies(t, copyHolders(site, site[0], "a"), "a")
	for _, g := range site {
		expectOrigin(t, g, "a", "v1")
		g.Began("a", "v2")
	}
	for _, g := range site {
		expectOrigin(t, g, "a", "v1")
	}
}

// Names that don't fit into a message are neither recorded nor asked for.
func TestUnfitNamesAreUnknown(t *testing.T) {
	site := startSite(t, 2)
	long := strings.Repeat("a", maxAttemptLength+1)
	for _, c := range []struct{ attempt, origin string }{
		{"", "v1"}, {long, "v1"}, {"a", ""}, {"a", strings.Repeat("v", maxOriginLength+1)},
	} {
		site[0].Began(c.attempt, c.origin)
		origin, known := site[0].OriginOf(t.Context(), c.attempt)
		if known {
			t.Errorf("attempt %q has origin %q, want it unknown", c.attempt, origin)
		}
	}
	longest := strings.Repeat("a", maxAttemptLength)
	site[0].Began(longest, strings.Repeat("v", maxOriginLength))
	expectOrigin(t, site[1], longest, strings.Repeat("v", maxOriginLength))
}

// An answer that comes too late for its query must be known to a repeated one.
func TestLateAnswerIsKnownToTheNextQuery(t *testing.T) {
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	go answerLate(socket, 400*time.Millisecond)
	g, _ := startGossiper(t, 0)
	g.SetPeers([]string{socket.LocalAddr().String()})
	_, known := g.OriginOf(t.Context(), "a")
	if known {
		t.Error("the origin was known before any answer")
	}
	time.Sleep(600 * time.Millisecond)
	origin, known := g.OriginOf(t.Context(), "a")
	if !known || origin != "v1" {
		t.Errorf("origin %q, known %v after the late answer; want v1", origin, known)
	}
}

// answerLate answers each query on socket after delay, until the socket is closed.
func answerLate(socket net.PacketConn, delay time.Duration) {
	buffer := make([]byte, maxDatagramLength)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		q, err := decodeStreamQuery(slices.Clone(buffer[:n]))
		if err == nil {
			time.AfterFunc(delay, func() { _, _ = socket.WriteTo(streamAnswer{id: q.id, origin: "v1"}.append(nil), from) })
		}
	}
}

// Datagrams from processes that are not known entries must change nothing.
func TestUnknownEntriesAnnounceNothing(t *testing.T) {
	g, _ := startGossiper(t, 0)
	stranger := netip.MustParseAddrPort("127.0.0.1:9")
	id, answers, _ := g.queries.open("a", 1)
	for _, data := range [][]byte{
		streamAnnouncement{attempt: "a", origin: "v1"}.append(nil),
		streamQuery{id: 1, attempt: "a"}.append(nil),
		streamAnswer{id: id, origin: "v1"}.append(nil),
	} {
		if g.receive(data, stranger) == nil {
			t.Errorf("the datagram %v of a stranger was accepted, want an error", data)
		}
	}
	if _, known := g.origins.lookup("a", time.Now()); known || len(answers) != 0 || g.Counts().Sent != 0 {
		t.Error("a stranger's datagram was stored or answered")
	}
}

// An answer must reach only its own query, and a repeated one must not block.
func TestAnswersReachTheirQuery(t *testing.T) {
	var queries streamQueries
	first, firstAnswers, _ := queries.open("a", 1)
	second, secondAnswers, _ := queries.open("a", 1)
	queries.answer(first+second+1, receivedAnswer{origin: "v0"})
	queries.answer(first, receivedAnswer{origin: "v1"})
	queries.answer(first, receivedAnswer{origin: "v1"})
	if len(firstAnswers) != 1 || len(secondAnswers) != 0 {
		t.Errorf("%d and %d answers, want 1 and 0", len(firstAnswers), len(secondAnswers))
	}
	queries.close(second)
	queries.answer(second, receivedAnswer{origin: "v2"})
	if len(secondAnswers) != 0 {
		t.Error("a closed query received an answer")
	}
	for len(queries.pending) < maxStreamQueries {
		queries.open("a", 1)
	}
	if _, _, ok := queries.open("a", 1); ok {
		t.Errorf("more than %d queries wait", maxStreamQueries)
	}
}

// All entries must choose the same keepers, whatever the order in which they know
// the peers, and a lost entry must not move the others.
func TestKeepersAgree(t *testing.T) {
	var all []netip.AddrPort
	for i := range 91 {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7946))
	}
	kept := make(map[netip.AddrPort]int)
	const attempts = 9100
	for i := range attempts {
		attempt := fmt.Sprintf("%016x", i)
		chosen := keepers(attempt, all, askedKeepers)
		reversed := slices.Clone(all)
		slices.Reverse(reversed)
		if !slices.Equal(chosen, keepers(attempt, reversed, askedKeepers)) {
			t.Fatalf("attempt %s has other keepers in another order of the peers", attempt)
		}
		for _, first := range append(chosen, all[i%len(all)]) {
			others := slices.DeleteFunc(slices.Clone(all), func(a netip.AddrPort) bool { return a == first })
			for _, keeper := range keepers(attempt, others, copies) {
				if !slices.Contains(chosen, keeper) {
					t.Fatalf("attempt %s: keeper %s of entry %s is not asked", attempt, keeper, first)
				}
			}
		}
		for _, keeper := range chosen[:copies] {
			kept[keeper]++
		}
	}
	mean := attempts * copies / len(all)
	for _, entry := range all {
		if kept[entry] < mean/2 || kept[entry] > mean*2 {
			t.Errorf("entry %s keeps %d of %d copies, want about %d", entry, kept[entry], attempts*copies, mean)
		}
	}
}

// Stream messages must decode to what was encoded.
func TestStreamMessagesRoundTrip(t *testing.T) {
	announcement := streamAnnouncement{attempt: "9c41d07be2a35f68", origin: "v1"}
	gotAnnouncement, err := decodeStreamAnnouncement(announcement.append(nil))
	if err != nil || gotAnnouncement != announcement {
		t.Errorf("decoded announcement %+v with error %v, want the encoded one", gotAnnouncement, err)
	}
	query := streamQuery{id: 1 << 63, attempt: "9c41d07be2a35f68"}
	gotQuery, err := decodeStreamQuery(query.append(nil))
	if err != nil || gotQuery != query {
		t.Errorf("decoded query %+v with error %v, want the encoded one", gotQuery, err)
	}
	for _, answer := range []streamAnswer{{id: 5, origin: "v1"}, {id: 1 << 60}} {
		gotAnswer, err := decodeStreamAnswer(answer.append(nil))
		if err != nil || gotAnswer != answer {
			t.Errorf("decoded answer %+v with error %v, want the encoded one", gotAnswer, err)
		}
	}
}

// Malformed datagrams of a known entry must be rejected and store nothing.
func TestMalformedStreamMessages(t *testing.T) {
	long := strings.Repeat("x", maxAttemptLength+1)
	longOrigin := strings.Repeat("x", maxOriginLength+1)
	g := &Gossiper{Log: log.New(io.Discard)}
	g.SetPeers([]string{"127.0.0.1:9"})
	for _, data := range [][]byte{
		{formatStreamAnnouncement},
		{formatStreamAnnouncement, 0},
		{formatStreamAnnouncement, 2, 'a'},
		{formatStreamAnnouncement, 1, 'a'},
		{formatStreamAnnouncement, 255, 'a', 'v'},
		streamAnnouncement{origin: "v1"}.append(nil),
		streamAnnouncement{attempt: long, origin: "v1"}.append(nil),
		streamAnnouncement{attempt: "a", origin: longOrigin}.append(nil),
		{formatStreamQuery},
		{formatStreamQuery, 0, 0, 0, 0, 0, 0, 0},
		streamQuery{id: 1}.append(nil),
		streamQuery{id: 1, attempt: long}.append(nil),
		{formatStreamAnswer},
		{formatStreamAnswer, 0, 0, 0, 0, 0, 0, 0},
		streamAnswer{id: 1, origin: longOrigin}.append(nil),
		{formatStreamAnswer + 1},
	} {
		if g.receive(data, netip.MustParseAddrPort("127.0.0.1:9")) == nil {
			t.Errorf("the datagram %v was accepted, want an error", data)
		}
	}
	if len(g.origins.current) != 0 {
		t.Errorf("%d streams stored, want none", len(g.origins.current))
	}
}

// Any datagram that is accepted as a stream message must encode to the same
// bytes, and none may cause a panic.
func FuzzDecodeStream(f *testing.F) {
	f.Add(streamAnnouncement{attempt: "a", origin: "v"}.append(nil))
	f.Add(streamQuery{id: 1, attempt: "a"}.append(nil))
	f.Add(streamAnswer{id: 1, origin: "v"}.append(nil))
	f.Add([]byte{formatStreamAnnouncement, 200, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var encoded [][]byte
		if a, err := decodeStreamAnnouncement(data); err == nil {
			encoded = append(encoded, a.append(nil))
		}
		if q, err := decodeStreamQuery(data); err == nil {
			encoded = append(encoded, q.append(nil))
		}
		if a, err := decodeStreamAnswer(data); err == nil {
			encoded = append(encoded, a.append(nil))
		}
		for _, again := range encoded {
			if !slices.Equal(again, data) {
				t.Errorf("%v was encoded as %v after decoding", data, again)
			}
		}
	})
}

// Many requests begin and look up streams at once.
func TestConcurrentStreams(t *testing.T) {
	site := startSite(t, 4)
	var done sync.WaitGroup
	for i, g := range site {
		for worker := range 4 {
			done.Go(func() {
				for n := range 50 {
					attempt := fmt.Sprintf("%d-%d-%d", i, worker, n)
					g.Began(attempt, "v1")
					origin, known := site[(i+1+n)%len(site)].OriginOf(t.Context(), attempt)
					if known && origin != "v1" {
						t.Errorf("stream %s began at origin %q, want v1", attempt, origin)
					}
				}
			})
		}
	}
	done.Go(func() {
		for range 50 {
			site[0].SetPeers(addressesOf(site))
		}
	})
	done.Wait()
}

// Streams may still begin while the entry is shutting down.
func TestBeganAfterClose(t *testing.T) {
	site := startSite(t, 3)
	site[0].Close()
	site[0].Began("a", "v1")
	if counts := site[0].Counts(); counts.Sent != 0 || counts.Dropped != copies {
		t.Errorf("%d datagrams sent and %d dropped, want 0 and %d", counts.Sent, counts.Dropped, copies)
	}
}

// benchGossiper returns a gossiper with 90 peers that receive but never answer.
func benchGossiper(b *testing.B) *Gossiper {
	b.Helper()
	sink, err := net.ListenPacket("udp4", "0.0.0.0:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = sink.Close() })
	g := &Gossiper{Address: "127.0.0.1:0", Fleet: &place.Fleet{}, Log: log.New(io.Discard)}
	err = g.Start()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(g.Close)
	port := sink.LocalAddr().(*net.UDPAddr).Port
	var peers []string
	for i := range 90 {
		peers = append(peers, fmt.Sprintf("127.0.1.%d:%d", i+1, port))
	}
	g.SetPeers(peers)
	return g
}

func BenchmarkBegan(b *testing.B) {
	g := benchGossiper(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.Began(fmt.Sprintf("%016x", i), "v1")
	}
	b.ReportMetric(float64(g.Counts().Sent)/float64(b.N), "datagrams/op")
}

func BenchmarkOriginOfLocal(b *testing.B) {
	g := benchGossiper(b)
	g.Began("9c41d07be2a35f68", "v1")
	b.ReportAllocs()
	for b.Loop() {
		g.OriginOf(b.Context(), "9c41d07be2a35f68")
	}
}
