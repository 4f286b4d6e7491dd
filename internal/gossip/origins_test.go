package gossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// A origin must be known for originTTL after the last record of its attempt,
// and forgotten when twice that time has passed.
func TestOriginsExpire(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name     string
		recorded []time.Duration
		looked   time.Duration
		known    bool
	}{
		{"at once", []time.Duration{0}, 0, true},
		{"before the TTL", []time.Duration{0}, originTTL - 1, true},
		{"late in its generation", []time.Duration{originTTL - 1}, 2*originTTL - 2, true},
		{"after twice the TTL", []time.Duration{0}, 2 * originTTL, false},
		{"recorded again", []time.Duration{0, originTTL + 1}, 2*originTTL + 1, true},
		{"recorded again and expired", []time.Duration{0, originTTL + 1}, 4 * originTTL, false},
	} {
		var table originTable
		table.add("earlier", "v0", start)
		for _, at := range c.recorded {
			table.add("a", "v1", start.Add(at))
		}
		origin, known := table.lookup("a", start.Add(c.looked))
		if known != c.known || known && origin != "v1" {
			t.Errorf("%s: origin %q known %t, want %t", c.name, origin, known, c.known)
		}
	}
}

// Lookups between the generations must not make an entry older than it is.
func TestLookupsDontExpireOrigins(t *testing.T) {
	start := time.Now()
	var table originTable
	table.add("earlier", "v0", start)
	recorded := start.Add(originTTL - time.Second)
	table.add("a", "v1", recorded)
	for age := time.Duration(0); age < originTTL; age += time.Second {
		_, known := table.lookup("a", recorded.Add(age))
		if !known {
			t.Fatalf("unknown %s after it was recorded, want it known for %s", age, originTTL)
		}
	}
}

// The stream began at the origin recorded first, whichever generation holds it.
func TestFirstOriginIsKept(t *testing.T) {
	start := time.Now()
	var table originTable
	for _, at := range []time.Duration{0, 1, originTTL + 1, 2*originTTL + 1} {
		kept := table.add("a", fmt.Sprint("v", at), start.Add(at))
		if kept != "v0s" {
			t.Errorf("kept %q at %s, want the origin recorded first", kept, at)
		}
	}
}

// A full table must drop the oldest streams and stay within its bound.
func TestOverfullOrigins(t *testing.T) {
	const streams = maxOrigins + maxGeneration
	now := time.Now()
	var table originTable
	for i := range streams {
		table.add(fmt.Sprint(i), "v1", now)
		if held := len(table.current) + len(table.older); held > maxOrigins {
			t.Fatalf("%d streams held, want at most %d", held, maxOrigins)
		}
	}
	if _, known := table.lookup("0", now); known {
		t.Error("the oldest stream is known, want it dropped")
	}
	for i := streams - maxGeneration; i < streams; i++ {
		if _, known := table.lookup(fmt.Sprint(i), now); !known {
			t.Fatalf("stream %d of %d is unknown, want the newest %d known", i, streams, maxGeneration)
		}
	}
}

// A query without any answer must take the timeouts of its attempts, or end with its context,
// also if the peers are dead.
func TestSilentPeersDelayNoLonger(t *testing.T) {
	g, _ := startGossiper(t, 0)
	dead := deadAddresses(t, 90)
	g.SetPeers(dead)
	for _, c := range []struct{ limit, want time.Duration }{
		{time.Second, keeperAttempts*streamAnswerTimeout + allPeersTimeout},
		{40 * time.Millisecond, 40 * time.Millisecond},
		{10 * time.Millisecond, 10 * time.Millisecond},
		{0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			ctx, cancel := contextWithTimeout(t, c.limit)
			defer cancel()
			origin, known := g.OriginOf(ctx, "a")
			if known || time.Since(start) != c.want {
				t.Errorf("limit %s: origin %q known %t after %s, want unknown after %s", c.limit, origin, known, time.Since(start), c.want)
			}
		})
	}
}
