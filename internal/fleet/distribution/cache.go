package distribution

import (
	"context"
	"sync"
	"time"
)

// Cache is what one process holds of the sources, for itself and for those that pull from it. It never goes
// back to an older version, whoever offers it.
type Cache struct {
	Rested *Outbox // where tenants' data rested, by those that pull, on its way to the record

	mu      sync.Mutex
	pieces  map[string]*entry
	changed chan struct{} // closed and made anew with each change
	primary string
	heardAt time.Time // when the chain of sources last heard the primary
	members map[string]lease
}

// entry is a source as it is passed on: a whole at one version, and the changes that lead from there to at.
type entry struct {
	at      Version
	base    Version
	whole   []byte
	changes []Change // the oldest first, without gaps
	bytes   int
}

type lease struct {
	Member // as at the renewal
	at     time.Time
}

// keptChanges bounds the changes that a source keeps after its whole, in bytes; keptCount their number.
const (
	keptChanges = 256 << 10
	keptCount   = 64
)

// NewCache makes an empty store.
func NewCache() *Cache {
	return &Cache{Rested: NewOutbox(), pieces: map[string]*entry{}, changed: make(chan struct{}), members: map[string]lease{}}
}

// Set puts the whole of a source there. It reports whether it was news.
func (s *Cache) Set(source string, at Version, whole []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(source, &entry{at: at, base: at, whole: whole})
}

func (s *Cache) set(source string, n *entry) bool {
	if h := s.pieces[source]; h != nil && !h.at.Before(n.at) {
		return false
	}
	s.pieces[source] = n
	s.signal()
	return true
}

// Append puts a change there that leads to the version given from the one entry. It reports false where the source
// has no whole, is not at the version before, or holds enough changes: then Set is due.
func (s *Cache) Append(source string, from, at Version, c Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.pieces[source]
	if h == nil || h.at != from || h.bytes+len(c.Body) > keptChanges || len(h.changes) >= keptCount {
		return false
	}
	return s.set(source, &entry{at: at, base: h.base, whole: h.whole, changes: append(h.changes[:len(h.changes):len(h.changes)], c), bytes: h.bytes + len(c.Body)})
}

func (s *Cache) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// At is the version of a source; false: nothing is there.
func (s *Cache) At(source string) (Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.pieces[source]
	if h == nil {
		return Version{}, false
	}
	return h.at, true
}

// Changed is closed at the next change.
func (s *Cache) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Have is the vector of versions entry.
func (s *Cache) Have() map[string]Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := make(map[string]Version, len(s.pieces))
	for source, h := range s.pieces {
		have[source] = h.at
	}
	return have
}

// Renew notes leases that a pull renews.
func (s *Cache) Renew(members []Member, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range members {
		at := now.Add(-time.Duration(m.AgeM) * time.Millisecond)
		if l, ok := s.members[m.Name]; (!ok && len(s.members) < maxMembers) || at.After(l.at) {
			s.members[m.Name] = lease{Member: m, at: at}
		}
	}
}

// maxMembers bounds who may hold a lease here.
const maxMembers = 20_000

// Members are those whose lease is younger than the age given; others are forgotten.
func (s *Cache) Members(now time.Time, age time.Duration) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Member
	for name, l := range s.members {
		if old := now.Sub(l.at); old < age {
			l.AgeM = old.Milliseconds()
			all = append(all, l.Member)
		} else {
			delete(s.members, name)
		}
	}
	return all
}

// Heard notes when the primary was last heard of, and where it is.
func (s *Cache) Heard(primary string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.heardAt) {
		s.heardAt, s.primary = at, primary
	}
}

// Fresh tells when the primary was last heard of, and where it is.
func (s *Cache) Fresh() (time.Time, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt, s.primary
}

// news gathers what p lacks; nil: nothing.
func (s *Cache) news(have map[string]Version) []Resource {
	var pieces []Resource
	for source, h := range s.pieces {
		had, ok := have[source]
		if ok && !had.Before(h.at) {
			continue
		}
		piece := Resource{Source: source, At: h.at, Since: h.base, Changes: h.changes, Whole: h.whole}
		if ok && had == h.base {
			piece.Whole = nil
		}
		for i := range h.changes {
			if ok && had == h.changes[i].At {
				piece.Since, piece.Changes, piece.Whole = had, h.changes[i+1:], nil
			}
		}
		pieces = append(pieces, piece)
	}
	return pieces
}

// Answer answers a pull: at once where something is new, else when something is or its time is up.
func (s *Cache) Answer(ctx context.Context, from string, p *Request) *Response {
	return s.answer(ctx, from, p, func() {})
}

// answer calls refresh each time before it looks for news: what the answer claims to be as new as is known before its content
// is gathered.
func (s *Cache) answer(ctx context.Context, from string, p *Request, refresh func()) *Response {
	wait := time.NewTimer(time.Duration(p.WaitMs) * time.Millisecond)
	defer wait.Stop()
	asked := time.Now()
	for over := false; ; {
		held := time.Since(asked) // before the age: what comes between them counts twice, and never not at all
		refresh()
		s.mu.Lock()
		pieces, changed := s.news(p.Have), s.changed
		heard, primary := s.heardAt, s.primary
		s.mu.Unlock()
		if len(pieces) > 0 || over || ctx.Err() != nil {
			n := &Response{From: from, Primary: primary, FreshMs: -1, Resources: pieces, HeldMs: held.Milliseconds()}
			if !heard.IsZero() {
				n.FreshMs = ageMs(heard)
			}
			return n
		}
		select {
		case <-changed:
		case <-wait.C:
			over = true
		case <-ctx.Done():
		}
	}
}

// ageMs is how old a moment is in milliseconds, rounded up: an age that is told on never shrinks.
func ageMs(since time.Time) int64 {
	return (time.Since(since) + time.Millisecond - 1).Milliseconds()
}

// Take takes news to pass on. Sources whose changes don't follow on what is entry are named: whoever pulls then asks for
// them as if it had nothing.
func (s *Cache) Take(n *Response, now time.Time) (lacking []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n.Resources {
		p := &n.Resources[i]
		bytes := 0
		for _, c := range p.Changes {
			bytes += len(c.Body)
		}
		h := s.pieces[p.Source]
		switch {
		case p.Whole != nil:
			s.set(p.Source, &entry{at: p.At, base: p.Since, whole: p.Whole, changes: p.Changes, bytes: bytes})
		case h == nil || h.at != p.Since || h.bytes+bytes > 4*keptChanges:
			lacking = append(lacking, p.Source)
		default:
			s.set(p.Source, &entry{at: p.At, base: h.base, whole: h.whole, changes: append(h.changes[:len(h.changes):len(h.changes)], p.Changes...), bytes: h.bytes + bytes})
		}
	}
	if heard := now.Add(-time.Duration(n.FreshMs) * time.Millisecond); n.FreshMs >= 0 && heard.After(s.heardAt) {
		s.heardAt, s.primary = heard, n.Primary
	}
	return lacking
}
