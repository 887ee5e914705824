package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the length of the prompt text in one cache block.
const blockBytes = 64

type (
	// prefixCache is an LRU cache of prompt blocks. The key of a block is the hash of the prompt up to the end of the block.
	prefixCache struct {
		maxBlocks int
		recency   *list.List
		blocks    map[uint64]*list.Element
	}
)

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{maxBlocks: tokens * bytesPerToken / blockBytes, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndInsert returns the number of prompt tokens in the cached prefix and inserts all blocks of the prompt.
func (c *prefixCache) lookupAndInsert(text string, tokens int) int {
	digest := xxhash.New()
	cached, missed := 0, false
	for start := 0; start+blockBytes <= len(text); start += blockBytes {
		_, _ = digest.WriteString(text[start : start+blockBytes])
		key := digest.Sum64()
		if e, ok := c.blocks[key]; ok {
			c.recency.MoveToFront(e)
			if !missed {
				cached += blockBytes / bytesPerToken
			}
			continue
		}
		missed = true
		c.blocks[key] = c.recency.PushFront(key)
	}
	for c.recency.Len() > c.maxBlocks {
		last := c.recency.Back()
		key, _ := c.recency.Remove(last).(uint64)
		delete(c.blocks, key)
	}
	return min(cached, tokens)
}
