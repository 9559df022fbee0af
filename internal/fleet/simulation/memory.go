package simulation

// partKey names a kept part: parts are kept for the same model at the same version of its weights.
type partKey struct {
	model string
	ver   int
	id    string
}

// held is one part in memory.
type held struct {
	key    partKey
	tokens int
	refs   int    // running requests and handles that hold it
	ready  bool   // it has been read or moved in
	tick   uint64 // last use
	rec    *KeptPart
}

// memory is a backend's memory of prompts: a state machine without lock or clock. keep and drop are told of parts that
// become kept and that give way.
type memory struct {
	size  int // tokens
	used  int // tokens of all parts and of requests' own
	own   int // tokens of running requests that are no parts
	tick  uint64
	parts map[partKey]*held
	keep  func(k partKey, tokens int, attempt string, moved bool) *KeptPart
	drop  func(*KeptPart)
}

// lease is the memory held by one request or handle.
type lease struct {
	parts []*held
	own   int
	kept  int // tokens of the parts found kept, with all before them
	read  int // tokens to be read: the other parts, and the prompt's rest
}

// inUse returns the tokens that can't give way.
func (m *memory) inUse() int {
	n := m.own
	for _, h := range m.parts {
		if h.refs > 0 {
			n += h.tokens
		}
	}
	return n
}

// reserve takes memory for a prompt's parts and own further tokens, of which rest have to be read. Parts unused the
// longest give way. It changes nothing and returns nil when there is not enough.
func (m *memory) reserve(model string, ver int, parts []Part, own, rest int) *lease {
	need, spare := own, 0
	wanted := make(map[partKey]bool, len(parts))
	for _, p := range parts {
		k := partKey{model, ver, p.ID}
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
	l := &lease{own: own, read: rest}
	m.tick++
	leading := true
	for _, p := range parts {
		k := partKey{model, ver, p.ID}
		h := m.parts[k]
		if h == nil {
			h = &held{key: k, tokens: p.Tokens}
			m.parts[k] = h
			m.used += p.Tokens
		}
		h.refs++
		h.tick = m.tick
		l.parts = append(l.parts, h)
		leading = leading && h.ready
		if leading {
			l.kept += h.tokens
		} else {
			l.read += h.tokens
		}
	}
	m.used += own
	m.own += own
	for m.used > m.size {
		m.evict()
	}
	return l
}

// evict gives up the free part unused the longest; of equals, the one with the lowest id.
func (m *memory) evict() {
	var old *held
	for _, h := range m.parts {
		if h.refs == 0 && (old == nil || h.tick < old.tick || h.tick == old.tick && h.key.id < old.key.id) {
			old = h
		}
	}
	m.remove(old)
}

func (m *memory) remove(h *held) {
	delete(m.parts, h.key)
	m.used -= h.tokens
	if h.rec != nil {
		m.drop(h.rec)
	}
}

// filled marks a lease's parts as read, or as moved in, by attempt.
func (m *memory) filled(l *lease, attempt string, moved bool) {
	for _, h := range l.parts {
		if !h.ready {
			h.ready = true
			h.rec = m.keep(h.key, h.tokens, attempt, moved)
		}
	}
}

// release gives a lease back. Parts that were read stay until they give way; the others go.
func (m *memory) release(l *lease) {
	m.used -= l.own
	m.own -= l.own
	m.tick++
	for _, h := range l.parts {
		h.refs--
		h.tick = m.tick
		if h.refs == 0 && !h.ready {
			m.remove(h)
		}
	}
	l.parts, l.own = nil, 0
}

// clear gives up everything, at the end of an incarnation.
func (m *memory) clear() {
	for _, h := range m.parts {
		m.remove(h)
	}
}
