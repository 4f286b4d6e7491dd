package place

import (
	"testing"
	"time"
)

// prefixCase is a fleet of three engines and the servers that a prompt is compared at.
type prefixCase struct {
	fleet    *Fleet
	upstream *upstreamState
	prompt   *Prompt
	// preferred is the preferred server of the prompt's prefix, and other another one.
	preferred, other *server
}

func newPrefixCase(memory int64) *prefixCase {
	f := engineFleet(3)
	f.SetUpstreams(map[string]UpstreamPolicy{"pool": {CacheTokens: memory}})
	c := &prefixCase{fleet: f, upstream: f.upstreamOf("pool"), prompt: &Prompt{Tokens: 20_000, Output: 100, Prefix: []PrefixSegment{{ID: 1, Tokens: 16_000}}}}
	c.preferred = f.preferred(c.upstream, &Query{Now: internalStart, Prompt: c.prompt})
	for _, s := range c.upstream.servers {
		s.failureDomain = "a"
		if s != c.preferred {
			c.other = s
		}
	}
	return c
}

// hold lets a server hold the prefix.
func (c *prefixCase) hold(s *server) {
	c.fleet.RecordRemotePrompt(s.id, 0, c.prompt.Prefix, internalStart)
}

func (c *prefixCase) choice() *server {
	placement := c.fleet.Pick(Query{Now: internalStart, Upstream: "pool", FailureDomain: "a", Prompt: c.prompt}).(Chosen).Placement
	placement.Done(Unused{}, internalStart)
	return placement.server
}

// A server that holds the prefix must be chosen before the preferred one that does not:
// otherwise tokens are read again.
func TestServerThatHoldsThePrefixIsChosen(t *testing.T) {
	c := newPrefixCase(0)
	if got := c.choice(); got != c.preferred {
		t.Errorf("%s was chosen for a new prefix, want the preferred server %s", got.id, c.preferred.id)
	}
	c = newPrefixCase(0)
	c.hold(c.other)
	if got := c.choice(); got != c.other {
		t.Errorf("%s was chosen, want %s, which holds the prefix", got.id, c.other.id)
	}
}

// A prefix that cannot be in the engine's memory beside the requests that it runs must not
// draw a request to the server that once read it.
func TestPrefixBeyondTheMemoryIsNotCounted(t *testing.T) {
	for _, test := range []struct {
		memory int64
		kept   bool
	}{{500_000, true}, {60_000, false}} {
		c := newPrefixCase(test.memory)
		c.upstream.held.record(5000, time.Second)
		c.hold(c.other)
		c.upstream.recordReport(c.other, Load{Running: 10, Slots: 32, Slowdown: 1}, internalStart)
		if got := c.choice(); (got == c.other) != test.kept {
			t.Errorf("memory of %d tokens: %s was chosen; %s held the prefix", test.memory, got.id, c.other.id)
		}
	}
}

// A preferred server whose queue takes longer than the prefix saves must not be chosen.
func TestWaitOutweighsThePrefix(t *testing.T) {
	for _, test := range []struct {
		queue  time.Duration
		chosen bool
	}{{20 * time.Millisecond, true}, {time.Second, false}} {
		c := newPrefixCase(0)
		c.hold(c.preferred)
		c.fleet.RecordRemotePrompt(c.preferred.id, test.queue, nil, internalStart)
		if got := c.choice(); (got == c.preferred) != test.chosen {
			t.Errorf("queue of %s at the preferred server: %s was chosen", test.queue, got.id)
		}
	}
}

// The least recently used segments must count as evicted first, and one that is used again
// as kept.
func TestLeastRecentlyUsedSegmentsAreEvicted(t *testing.T) {
	var p prefixCache
	prompt := func(ids ...uint64) *Prompt {
		q := &Prompt{Tokens: 10_000}
		for _, id := range ids {
			q.Prefix = append(q.Prefix, PrefixSegment{ID: id, Tokens: 1000})
		}
		return q
	}
	p.record(prompt(1, 2).Prefix, 0, internalStart)
	p.record(prompt(1, 3).Prefix, 0, internalStart)
	p.record([]PrefixSegment{{ID: 4}}, 500, internalStart)
	p.evict(2600)
	check := func(want int64, ids ...uint64) {
		t.Helper()
		if _, kept := p.leadingTokens(prompt(ids...)); kept != want {
			t.Errorf("%d tokens of the segments %d are kept, want %d", kept, ids, want)
		}
	}
	check(1000, 1, 2)
	check(2000, 1, 3)
	check(1000, 4)
	p.record(prompt(1, 2).Prefix, 0, internalStart)
	p.evict(2600)
	check(2000, 1, 2)
	check(1000, 1, 3)
	p.evict(-1)
	check(0, 1)
	if p.keptTotal != 0 || p.usedTokens(prompt(1, 2)) != 2000 {
		t.Errorf("%d tokens are kept and %d remembered, want 0 and 2000", p.keptTotal, p.usedTokens(prompt(1, 2)))
	}
}
