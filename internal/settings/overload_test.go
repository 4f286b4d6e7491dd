package settings

import (
	"testing"

	"github.com/cactusbay/cactusbay/internal/check"
)

// TestOverloadNeedsResources guards against an entry that measures its overload without
// knowing its link, against one that refuses connections without knowing whether others have
// room, and against errors that do not name the field.
func TestOverloadNeedsResources(t *testing.T) {
	for _, test := range []struct {
		overload *Overload
		field    string
	}{
		{nil, ""},
		{&Overload{LinkMbps: 7.5, MemoryMB: 144}, ""},
		{&Overload{LinkMbps: 7.5, MemoryMB: 144, Divert: true, RefuseConnections: true}, ""},
		{&Overload{LinkMbps: 7.5, MemoryMB: 144, RefuseConnections: true}, "seeded.overload.refuse_connections"},
		{&Overload{MemoryMB: 144}, "seeded.overload.link_mbps"},
		{&Overload{LinkMbps: -1, MemoryMB: 144}, "seeded.overload.link_mbps"},
		{&Overload{LinkMbps: 10}, "seeded.overload.memory_mb"},
	} {
		var faults check.Faults
		test.overload.validate(&faults)
		if (faults.Err() != nil) != (test.field != "") || test.field != "" && !faults.Has(test.field) {
			t.Errorf("%+v: got %v, want an error for %q", test.overload, faults.Err(), test.field)
		}
	}
}
