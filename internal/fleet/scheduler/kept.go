package scheduler

import "container/list"

// prefixCache is what one backend is believed to keep: parts, the least recently used first to give way, as backends do.
// Other senders' parts are not known here, so it may keep less than is believed.
type prefixCache struct {
	byHash         map[uint64]*list.Element
	lru            *list.List // of cachedSegment, the oldest use first
	tokens         int
	capacityTokens int
}

type cachedSegment struct {
	prefixHash uint64
	tokens     int
}

func newPrefixCache(capacityTokens int) *prefixCache {
	return &prefixCache{byHash: map[uint64]*list.Element{}, lru: list.New(), capacityTokens: capacityTokens}
}

// touch notes that the parts of a prompt were read or used now.
func (c *prefixCache) touch(p *Prompt) {
	for _, part := range p.Segments {
		if e := c.byHash[part.PrefixHash]; e != nil {
			c.lru.MoveToBack(e)
			continue
		}
		c.byHash[part.PrefixHash] = c.lru.PushBack(cachedSegment{part.PrefixHash, part.Tokens})
		c.tokens += part.Tokens
	}
	for c.tokens > c.capacityTokens && c.lru.Len() > 0 {
		e := c.lru.Front()
		old := c.lru.Remove(e).(cachedSegment)
		delete(c.byHash, old.prefixHash)
		c.tokens -= old.tokens
	}
}

// matchTokens is how many tokens of the prompt are kept from its beginning on.
func (c *prefixCache) matchTokens(p *Prompt) int {
	n := 0
	for _, part := range p.Segments {
		if c.byHash[part.PrefixHash] == nil {
			break
		}
		n += part.Tokens
	}
	return min(n, p.InputTokens)
}
