package simulation

// cacheKey names a cached part: parts are cached for one model at one version of its weights.
type cacheKey struct {
	model  string
	ver    int
	partID string
}

// memoryPart is one part in memory.
type memoryPart struct {
	key     cacheKey
	tokens  int
	refs    int         // running requests and handles that use it; it can't be evicted while there are any
	ready   bool        // it was prefilled or transferred and is usable by other requests
	lastUse uint64      // memory.useCount at its last use
	record  *CachedPart // nil until ready
}

// memory is a backend's memory of prompts: a state machine without lock or clock. onCached is called with each part
// that becomes ready, and onEvicted with each of these that is removed. incarnation.mu is held for all its methods.
type memory struct {
	size     int // tokens
	used     int // tokens of all parts, and unshared
	unshared int // tokens of running requests that belong to no part
	useCount uint64
	parts    map[cacheKey]*memoryPart

	onCached  func(k cacheKey, tokens int, attempt string, transferred bool) *CachedPart
	onEvicted func(*CachedPart)
}

// reservation is the memory of one request or handle.
type reservation struct {
	parts          []*memoryPart
	unshared       int // tokens that belong to no part
	cachedTokens   int // tokens of the leading parts that were ready
	uncachedTokens int // tokens to prefill: the other parts, and the prompt's tokens beyond its parts
}

// inUse returns the tokens that can't be evicted.
func (m *memory) inUse() int {
	n := m.unshared
	for _, h := range m.parts {
		if h.refs > 0 {
			n += h.tokens
		}
	}
	return n
}

// reserve reserves memory for a prompt's parts and unshared further tokens, of which rest are to be prefilled. The
// least recently used parts are evicted. It changes nothing and returns nil when there is not enough.
func (m *memory) reserve(model string, ver int, parts []Part, unshared, rest int) *reservation {
	if !m.fits(model, ver, parts, unshared) {
		return nil
	}
	rs := &reservation{unshared: unshared, uncachedTokens: rest}
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
		rs.parts = append(rs.parts, h)
		// A part's memory depends on all tokens before it: it is usable only if all parts before it are ready.
		leading = leading && h.ready
		if leading {
			rs.cachedTokens += h.tokens
		} else {
			rs.uncachedTokens += h.tokens
		}
	}
	m.used += unshared
	m.unshared += unshared
	for m.used > m.size {
		m.evict()
	}
	return rs
}

// fits reports whether reserve can make enough memory free.
func (m *memory) fits(model string, ver int, parts []Part, unshared int) bool {
	need := unshared
	wanted := make(map[cacheKey]bool, len(parts))
	for _, p := range parts {
		k := cacheKey{model, ver, p.ID}
		if !wanted[k] && m.parts[k] == nil {
			need += p.Tokens
		}
		wanted[k] = true
	}
	evictable := 0
	for k, h := range m.parts {
		if h.refs == 0 && !wanted[k] {
			evictable += h.tokens
		}
	}
	return need <= m.size-m.used+evictable
}

// evict removes the least recently used part without refs; of equals, the one with the lowest id.
func (m *memory) evict() {
	var oldest *memoryPart
	for _, h := range m.parts {
		if h.refs > 0 {
			continue
		}
		if oldest == nil || h.lastUse < oldest.lastUse ||
			h.lastUse == oldest.lastUse && h.key.partID < oldest.key.partID {
			oldest = h
		}
	}
	m.remove(oldest)
}

func (m *memory) remove(h *memoryPart) {
	delete(m.parts, h.key)
	m.used -= h.tokens
	if h.record != nil {
		m.onEvicted(h.record)
	}
}

// markFilled marks a reservation's parts as ready: prefilled for attempt, or transferred.
func (m *memory) markFilled(rs *reservation, attempt string, transferred bool) {
	for _, h := range rs.parts {
		if !h.ready {
			h.ready = true
			h.record = m.onCached(h.key, h.tokens, attempt, transferred)
		}
	}
}

// release returns a reservation. Its ready parts stay until they are evicted; the others are removed.
func (m *memory) release(rs *reservation) {
	m.used -= rs.unshared
	m.unshared -= rs.unshared
	m.useCount++
	for _, h := range rs.parts {
		h.refs--
		h.lastUse = m.useCount
		if h.refs == 0 && !h.ready {
			m.remove(h)
		}
	}
	rs.parts = nil
	rs.unshared = 0
}

// clear removes all parts, at the end of an incarnation.
func (m *memory) clear() {
	for _, h := range m.parts {
		m.remove(h)
	}
}
