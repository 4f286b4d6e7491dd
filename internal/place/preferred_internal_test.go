package place

import "testing"

// A first segment must get a group by its share of the prompts: a small one for a rare segment,
// all servers for a frequent one, and the same one at entries with slightly different counts.
func TestGroupFollowsTheShareOfTheSegment(t *testing.T) {
	for _, test := range []struct{ every, want int }{{100, 4}, {48, 8}, {52, 8}, {24, 16}, {3, 60}} {
		var f firstSegments
		for i := range 2000 {
			id := uint64(1000 + i)
			if i%test.every == 0 {
				id = 1
			}
			f.record([]PrefixSegment{{ID: id}, {ID: 2}})
		}
		if got := f.groupSize(1, 60); got != test.want {
			t.Errorf("one in %d prompts: %d of 60 servers, want %d", test.every, got, test.want)
		}
	}
	var none firstSegments
	if got := none.groupSize(1, 60); got != 60 {
		t.Errorf("%d of 60 servers before the first prompt, want all", got)
	}
}

// Segments that are used once must not be remembered for ever.
func TestCountsOfFirstSegmentsAreBounded(t *testing.T) {
	var f firstSegments
	for i := range uint64(100_000) {
		f.record([]PrefixSegment{{ID: i}})
	}
	if len(f.counts) > maxFirstSegments {
		t.Errorf("%d segments are counted, want at most %d", len(f.counts), maxFirstSegments)
	}
}
