package group

import "sync"

// maxCachedPatches bounds the patches that are kept.
const maxCachedPatches = 8

// patchCache keeps patches between versions: many instances ask for the same
// one after a change. Its zero value works.
type patchCache struct {
	mu      sync.Mutex
	patches map[patchKey][]byte
}

type patchKey struct {
	from uint64
	to   uint64
}

// combinedPatch returns the patch that leads from one version to another, or nil when
// one of them is no longer kept.
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
