package group

import "sync"

// maxCachedPatches bounds the cached patches.
const maxCachedPatches = 8

// patchCache caches patches between versions, because many instances request
// the same one after a change. Its zero value is ready to use.
type patchCache struct {
	mu      sync.Mutex
	patches map[patchKey][]byte
}

type patchKey struct {
	from uint64
	to   uint64
}

// combinedPatch returns one merge patch between two versions, or nil if the
// history lacks one of them.
func (g *Group) combinedPatch(from, to uint64) []byte {
	g.combinedPatches.mu.Lock()
	defer g.combinedPatches.mu.Unlock()
	key := patchKey{from: from, to: to}
	patch, found := g.combinedPatches.patches[key]
	if found {
		return patch
	}
	diff, err := g.Diff(from, to)
	if err != nil {
		diff = nil
	}
	if len(g.combinedPatches.patches) >= maxCachedPatches || g.combinedPatches.patches == nil {
		g.combinedPatches.patches = make(map[patchKey][]byte)
	}
	g.combinedPatches.patches[key] = diff
	return diff
}
