package scheduler

import "container/list"

// prefixCache is what one backend is believed to hold in its KV cache: segments of prompts, evicted least recently
// used first, as backends do. Segments that other proxies sent are not known here, so that the backend may hold less
// than is believed.
type prefixCache struct {
	byHash         map[uint64]*list.Element
	lru            *list.List // of cachedSegment, the least recently used first
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

// touch records that the segments of a prompt were prefilled or used now, and evicts what no longer fits.
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

// resize sets the capacity, and evicts what no longer fits.
func (c *prefixCache) resize(capacityTokens int) {
	c.capacityTokens = capacityTokens
	c.evict()
}

// evict removes the least recently used segments until the others fit.
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

// matchTokens returns how many tokens of the prompt are cached, from its beginning on.
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
