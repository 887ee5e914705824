package home

import (
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	lengthEntries   = 4096
	lengthSmoothing = 0.2
	// defaultLength is the expected length of an answer in tokens before any has been measured.
	defaultLength = 64
	minLength     = 1
)

type (
	// overflowCache maps each chat that overflowed to the engine that accepted it.
	overflowCache struct {
		cache *lru.Cache[ident.Chat, ident.Engine]
	}

	// lengthEstimator keeps a smoothed length of the answers of each organisation and class, in tokens.
	lengthEstimator struct {
		cache *lru.Cache[lengthKey, float64]
	}

	lengthKey struct {
		org   ident.Organisation
		class ident.Class
	}
)

func newOverflowCache(size int) *overflowCache {
	return &overflowCache{cache: newCache[ident.Chat, ident.Engine](size)}
}

func (s *overflowCache) get(chat ident.Chat) ident.Engine {
	if chat == "" {
		return ""
	}
	e, _ := s.cache.Get(chat)
	return e
}

func (s *overflowCache) put(chat ident.Chat, e ident.Engine) {
	if chat != "" {
		s.cache.Add(chat, e)
	}
}

func (s *overflowCache) remove(chat ident.Chat) {
	if chat != "" {
		s.cache.Remove(chat)
	}
}

// chatCache holds the chats that an engine has served recently and whose prefix it may still have cached.
type chatCache struct {
	cache *lru.Cache[ident.Chat, struct{}]
}

func newChatCache(size int) *chatCache {
	return &chatCache{cache: newCache[ident.Chat, struct{}](size)}
}

func (c *chatCache) add(chat ident.Chat) {
	if chat != "" {
		c.cache.Add(chat, struct{}{})
	}
}

func (c *chatCache) has(chat ident.Chat) bool { return chat != "" && c.cache.Contains(chat) }

func newLengthEstimator() *lengthEstimator {
	return &lengthEstimator{cache: newCache[lengthKey, float64](lengthEntries)}
}

func (l *lengthEstimator) estimate(org ident.Organisation, class ident.Class) float64 {
	if v, ok := l.cache.Get(lengthKey{org, class}); ok {
		return max(v, minLength)
	}
	return defaultLength
}

func (l *lengthEstimator) record(org ident.Organisation, class ident.Class, tokens float64) {
	key := lengthKey{org, class}
	old, ok := l.cache.Get(key)
	if !ok {
		old = tokens
	}
	l.cache.Add(key, old+lengthSmoothing*(tokens-old))
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	cache, err := lru.New[K, V](size)
	if err != nil {
		panic(errors.Wrap(err, "create cache"))
	}
	return cache
}
