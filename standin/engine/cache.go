package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is how much of a prompt one block of the cache stands for.
const blockBytes = 64

type (
	// prefixCache remembers the blocks of prompts, and forgets the least recently used beyond its memory.
	prefixCache struct {
		maxBlocks int
		recency   *list.List
		blocks    map[uint64]*list.Element
	}
)

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{maxBlocks: tokens * bytesPerToken / blockBytes, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndInsert returns how many tokens of the prompt were cached, and caches all of it.
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
