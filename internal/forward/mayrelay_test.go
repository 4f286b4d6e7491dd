package forward

import (
	"testing"

	"github.com/cactusbay/cactusbay/internal/place"
)

// TestMayRelay guards against a request that is relayed although the region of another entry
// may not be allowed.
func TestMayRelay(t *testing.T) {
	limit := place.NewRegionLimit([]string{"north", "south"}, []string{"south"})
	for _, c := range []struct {
		own     string
		regions map[string]string
		want    bool
	}{
		{"south", map[string]string{"a": "south"}, true},
		{"home", map[string]string{"a": "south", "b": "home"}, true},
		{"", map[string]string{"a": "south"}, true},
		{"south", map[string]string{"a": "south", "b": "north"}, false},
		{"", map[string]string{"a": "south", "b": ""}, false},
		{"south", nil, false},
	} {
		if got := mayRelay(limit, c.own, c.regions); got != c.want {
			t.Errorf("from %q on a site with %v: %v, want %v", c.own, c.regions, got, c.want)
		}
	}
}
