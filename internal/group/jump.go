package group

import "sync"

// maxJumps bounds the patches that are kept.
const maxJumps = 8

// jumpCache keeps patches between versions: many instances ask for the same
// one after a change. Its zero value works.
type jumpCache struct {
	mu      sync.Mutex
	patches map[jumpKey][]byte
}

type jumpKey struct {
	from uint64
	to   uint64
}

// jump returns the patch that leads from one version to another, or nil when
// one of them is no longer kept.
func (g *Group) jump(from, to uint64) []byte {
	g.jumps.mu.Lock()
	defer g.jumps.mu.Unlock()
	key := jumpKey{from: from, to: to}
	patch, found := g.jumps.patches[key]
	if found {
		return patch
	}
	diff, err := g.Diff(from, to)
	if err != nil {
		diff = nil
	}
	if len(g.jumps.patches) >= maxJumps || g.jumps.patches == nil {
		g.jumps.patches = make(map[jumpKey][]byte)
	}
	g.jumps.patches[key] = diff
	return diff
}
