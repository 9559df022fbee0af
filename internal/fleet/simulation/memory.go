package simulation

// cacheKey names a kept part: parts are kept for the same model at the same version of its weights.
type cacheKey struct {
	model  string
	ver    int
	partID string
}

// memoryPart is one part in memory.
type memoryPart struct {
	key     cacheKey
	tokens  int
	refs    int    // running requests and handles that hold it
	ready   bool   // it has been read or moved in
	lastUse uint64 // last use
	record  *CachedPart
}

// memory is a backend's memory of prompts: a state machine without lock or clock. keep and drop are told of parts that
// become kept and that give way.
type memory struct {
	size      int // tokens
	used      int // tokens of all parts and of requests' own
	unshared  int // tokens of running requests that are no parts
	useCount  uint64
	parts     map[cacheKey]*memoryPart
	onCached  func(k cacheKey, tokens int, attempt string, moved bool) *CachedPart
	onEvicted func(*CachedPart)
}

// reservation is the memory held by one request or handle.
type reservation struct {
	parts          []*memoryPart
	unshared       int
	cachedTokens   int // tokens of the parts found kept, with all before them
	uncachedTokens int // tokens to be read: the other parts, and the prompt's rest
}

// inUse returns the tokens that can't give way.
func (m *memory) inUse() int {
	n := m.unshared
	for _, h := range m.parts {
		if h.refs > 0 {
			n += h.tokens
		}
	}
	return n
}

// reserve takes memory for a prompt's parts and own further tokens, of which rest have to be read. Parts unused the
// longest give way. It changes nothing and returns nil when there is not enough.
func (m *memory) reserve(model string, ver int, parts []Part, own, rest int) *reservation {
	need, spare := own, 0
	wanted := make(map[cacheKey]bool, len(parts))
	for _, p := range parts {
		k := cacheKey{model, ver, p.ID}
		if !wanted[k] && m.parts[k] == nil {
			need += p.Tokens
		}
		wanted[k] = true
	}
	for k, h := range m.parts {
		if h.refs == 0 && !wanted[k] {
			spare += h.tokens
		}
	}
	if need > m.size-m.used+spare {
		return nil
	}
	l := &reservation{unshared: own, uncachedTokens: rest}
	m.useCount++
	leading := true
	for _, p := range parts {
		k := cacheKey{model, ver, p.ID}
		h := m.parts[k]
		if h == nil {
			h = &memoryPart{key: k, tokens: p.Tokens}
			m.parts[k] = h
			m.used += p.Tokens
		}
		h.refs++
		h.lastUse = m.useCount
		l.parts = append(l.parts, h)
		leading = leading && h.ready
		if leading {
			l.cachedTokens += h.tokens
		} else {
			l.uncachedTokens += h.tokens
		}
	}
	m.used += own
	m.unshared += own
	for m.used > m.size {
		m.evict()
	}
	return l
}

// evict gives up the free part unused the longest; of equals, the one with the lowest id.
func (m *memory) evict() {
	var old *memoryPart
	for _, h := range m.parts {
		if h.refs == 0 && (old == nil || h.lastUse < old.lastUse || h.lastUse == old.lastUse && h.key.partID < old.key.partID) {
			old = h
		}
	}
	m.remove(old)
}

func (m *memory) remove(h *memoryPart) {
	delete(m.parts, h.key)
	m.used -= h.tokens
	if h.record != nil {
		m.onEvicted(h.record)
	}
}

// markFilled marks a lease's parts as read, or as moved in, by attempt.
func (m *memory) markFilled(l *reservation, attempt string, moved bool) {
	for _, h := range l.parts {
		if !h.ready {
			h.ready = true
			h.record = m.onCached(h.key, h.tokens, attempt, moved)
		}
	}
}

// release gives a lease back. Parts that were read stay until they give way; the others go.
func (m *memory) release(l *reservation) {
	m.used -= l.unshared
	m.unshared -= l.unshared
	m.useCount++
	for _, h := range l.parts {
		h.refs--
		h.lastUse = m.useCount
		if h.refs == 0 && !h.ready {
			m.remove(h)
		}
	}
	l.parts, l.unshared = nil, 0
}

// clear gives up everything, at the end of an incarnation.
func (m *memory) clear() {
	for _, h := range m.parts {
		m.remove(h)
	}
}
