package process

import (
	"testing"

	"github.com/cactusbay/cactusbay/internal/overload"
)

// TestMaxConnections guards against more connections than there are descriptors, whatever the
// settings say, and against a bound of none.
func TestMaxConnections(t *testing.T) {
	for _, c := range []struct {
		configured int
		limit      overload.DescriptorLimit
		memoryMB   int
		want       int
	}{
		{0, 0, 0, 0},
		{0, 4096, 0, 3072},
		{0, 4096, 96, 1024},
		{0, 300, 284, 200},
		{0, 50, 284, 1},
		{50, 4096, 96, 50},
		{5000, 4096, 96, 3072},
		{5000, 0, 96, 5000},
	} {
		got := maxConnections(c.configured, c.limit, c.memoryMB)
		if got != c.want {
			t.Errorf("%+v: %d connections, want %d", c, got, c.want)
		}
	}
}
