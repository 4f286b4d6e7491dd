package fake

import (
	"container/list"
	"hash/fnv"
)

// blockWords is the number of words, and so of prompt tokens, in a cache block.
const blockWords = 16

// prefixCache is an LRU cache of prompt blocks. A block is keyed by the hash of
// the prompt up to its end. The zero value has a limit of no blocks.
type prefixCache struct {
	limit  int
	recent list.List
	blocks map[uint64]*list.Element
}

// lookupAndStore returns the number of leading words of the prompt that are
// cached, and adds all full blocks of the prompt to the cache.
func (c *prefixCache) lookupAndStore(words []string) int64 {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	hash := fnv.New64a()
	cached := int64(0)
	hit := true
	for start := 0; start+blockWords <= len(words); start += blockWords {
		for _, word := range words[start : start+blockWords] {
			_, _ = hash.Write([]byte(word))
			_, _ = hash.Write([]byte{0})
		}
		hit = c.touch(hash.Sum64()) && hit
		if hit {
			cached += blockWords
		}
	}
	return cached
}

// touch marks a block as most recently used, adding it if absent, and reports
// whether it was cached.
func (c *prefixCache) touch(block uint64) bool {
	element := c.blocks[block]
	if element != nil {
		c.recent.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.recent.PushFront(block)
	for len(c.blocks) > c.limit {
		oldest := c.recent.Back()
		c.recent.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
	return false
}
