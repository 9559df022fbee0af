package scheduler

import "container/list"

// prefixCache models the KV cache of one backend: segments of prompts with least-recently-used eviction, as backends
// do. Segments sent by other proxies are not included, so the backend may have evicted segments that are in the model.
type prefixCache struct {
	byHash         map[uint64]*list.Element
	lru            *list.List // cachedSegment values, the least recently used first
	tokens         int
	capacityTokens int
}

type cachedSegment struct {
	prefixHash uint64
	tokens     int
}

func newPrefixCache(capacityTokens int) *prefixCache {
	return &prefixCache{
		byHash:         map[uint64]*list.Element{},
		lru:            list.New(),
		capacityTokens: capacityTokens,
	}
}

// touch marks the segments of a prompt as most recently used, adds missing ones, and evicts segments beyond the
// capacity.
func (c *prefixCache) touch(p *Prompt) {
	for _, segment := range p.Segments {
		if e := c.byHash[segment.PrefixHash]; e != nil {
			c.lru.MoveToBack(e)
			continue
		}
		c.byHash[segment.PrefixHash] = c.lru.PushBack(cachedSegment{segment.PrefixHash, segment.Tokens})
		c.tokens += segment.Tokens
	}
	c.evict()
}

// resize sets the capacity, and evicts segments beyond it.
func (c *prefixCache) resize(capacityTokens int) {
	c.capacityTokens = capacityTokens
	c.evict()
}

// evict removes the least recently used segments until the others fit the capacity.
func (c *prefixCache) evict() {
	for c.tokens > c.capacityTokens && c.lru.Len() > 0 {
		c.remove(c.lru.Front())
	}
}

// invalidate removes all segments of a prompt.
func (c *prefixCache) invalidate(p *Prompt) {
	for _, segment := range p.Segments {
		if e := c.byHash[segment.PrefixHash]; e != nil {
			c.remove(e)
		}
	}
}

func (c *prefixCache) remove(e *list.Element) {
	segment := c.lru.Remove(e).(cachedSegment)
	delete(c.byHash, segment.prefixHash)
	c.tokens -= segment.tokens
}

// matchTokens returns the length of the prompt's longest cached prefix, in tokens.
func (c *prefixCache) matchTokens(p *Prompt) int {
	n := 0
	for _, segment := range p.Segments {
		if c.byHash[segment.PrefixHash] == nil {
			break
		}
		n += segment.Tokens
	}
	return min(n, p.InputTokens)
}
