package forward_test

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
)

// An entry that does not pass on what the configuration states about an upstream's engines
// counts prefixes as cached that their memory cannot keep.
func TestInstallTellsTheFleetOfTheEnginesMemory(t *testing.T) {
	now := time.Now()
	for text, want := range map[string]int64{
		`{"upstreams":{"pool":{"engine":{"cache_tokens":150}}}}`: 0,
		`{"upstreams":{"pool":{"engine":{"cache_tokens":250}}}}`: 100,
		`{"upstreams":{"pool":{}}}`:                              100,
	} {
		document, err := config.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		server := &forward.Server{Fleet: &place.Fleet{Adaptive: true}, Holder: &escrow.Holder{}}
		server.Fleet.Update([]instances.Instance{{ID: "s0", Upstream: "pool", Address: "s0", Slots: 8}}, now)
		server.Install(1, document)
		var cached int64
		for _, segment := range []uint64{1, 2, 1} {
			prompt := &place.Prompt{Tokens: 100, Prefix: []place.PrefixSegment{{ID: segment, Tokens: 100}}}
			cached = server.Fleet.Pick(place.Query{Now: now, Upstream: "pool", Prompt: prompt}).(place.Chosen).Placement.CachedTokens
		}
		if cached != want {
			t.Errorf("%s: %d tokens count as cached, want %d", text, cached, want)
		}
	}
}
