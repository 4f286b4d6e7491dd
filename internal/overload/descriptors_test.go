package overload

import "testing"

// TestDescriptorLimit guards against idle connections that leave callers no descriptors, and
// against requests that are admitted with none left. 4,100 is the limit of the deployment
// whose entries had 3,371 open.
func TestDescriptorLimit(t *testing.T) {
	for _, c := range []struct {
		limit   DescriptorLimit
		inUse   int
		maxIdle int
		hasRoom bool
	}{
		{4100, 0, 3075, true},
		{4100, 2500, 575, true},
		{4100, 3371, 0, true},
		{4100, 3843, 0, true},
		{4100, 3844, 0, false},
		{256, 191, 1, true},
		{256, 192, 0, false},
	} {
		maxIdle, hasRoom := c.limit.MaxIdle(c.inUse), c.limit.HasRoom(c.inUse)
		if maxIdle != c.maxIdle || hasRoom != c.hasRoom {
			t.Errorf("limit %d with %d in use: %d idle, room %t; want %d and %t", c.limit, c.inUse, maxIdle, hasRoom, c.maxIdle, c.hasRoom)
		}
	}
	if unknown := DescriptorLimit(0); !unknown.HasRoom(1 << 20) {
		t.Error("a process without a known limit refuses requests")
	}
}
