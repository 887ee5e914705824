package home

import (
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	lengthEntries  = 4096
	lengthSmooth   = 0.2
	defaultLength  = 64
	lengthMinValue = 1
)

var errStalled = errors.New("no token within the time limit")

type (
	// spills remembers for each chat the engine that took it when this one was at its bound.
	spills struct {
		cache *lru.Cache[ident.Chat, ident.Engine]
	}

	// lengths learns how many tokens the answers of an organisation and class have.
	lengths struct {
		cache *lru.Cache[lengthKey, float64]
	}

	lengthKey struct {
		org   ident.Organisation
		class ident.Class
	}
)

func newSpills(size int) *spills {
	return &spills{cache: newCache[ident.Chat, ident.Engine](size)}
}

func (s *spills) get(chat ident.Chat) ident.Engine {
	if chat == "" {
		return ""
	}
	e, _ := s.cache.Get(chat)
	return e
}

func (s *spills) put(chat ident.Chat, e ident.Engine) {
	if chat != "" {
		s.cache.Add(chat, e)
	}
}

func (s *spills) remove(chat ident.Chat) {
	if chat != "" {
		s.cache.Remove(chat)
	}
}

// chats remembers which chats an engine served lately, whose prefix it may still have.
type chats struct {
	cache *lru.Cache[ident.Chat, struct{}]
}

func newChats(size int) *chats { return &chats{cache: newCache[ident.Chat, struct{}](size)} }

func (c *chats) add(chat ident.Chat) {
	if chat != "" {
		c.cache.Add(chat, struct{}{})
	}
}

func (c *chats) has(chat ident.Chat) bool { return chat != "" && c.cache.Contains(chat) }

func newLengths() *lengths {
	return &lengths{cache: newCache[lengthKey, float64](lengthEntries)}
}

func (l *lengths) expect(org ident.Organisation, class ident.Class) float64 {
	if v, ok := l.cache.Get(lengthKey{org, class}); ok {
		return max(v, lengthMinValue)
	}
	return defaultLength
}

func (l *lengths) learn(org ident.Organisation, class ident.Class, tokens float64) {
	key := lengthKey{org, class}
	old, ok := l.cache.Get(key)
	if !ok {
		old = tokens
	}
	l.cache.Add(key, old+lengthSmooth*(tokens-old))
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	cache, err := lru.New[K, V](size)
	if err != nil {
		panic(errors.Wrap(err, "create cache"))
	}
	return cache
}
