package distribution

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Cache is what one process holds of the sources, for itself and for those that pull from it. It never goes
// back to an older version, whoever offers it.
type Cache struct {
	Rested   *Outbox     // where tenants' data rested, by those that pull, on its way to the record
	Outcomes *OutcomeBox // how attempts at backends ended, on their way to the primary

	mu      sync.Mutex
	pieces  map[string]*entry
	changed chan struct{} // closed and made anew with each change
	primary string
	heardAt time.Time // when the chain of sources last heard the primary
	members map[string]lease
}

// entry is a source as it is passed on: a whole at one version, the changes that lead from there to the newest version, and
// those before it, for readers that are behind. It never changes once it is in the cache.
type entry struct {
	at      Version
	base    Version // of whole
	whole   []byte
	first   Version  // what the oldest change follows on
	changes []Change // the oldest first, without gaps
	since   int      // the first of them that comes after whole
	bytes   int      // of all changes
	after   int      // of those after whole
}

type lease struct {
	Member // as at the renewal
	at     time.Time
}

const (
	// keptChanges bounds the changes that a source keeps after its whole, in bytes; keptCount their number.
	keptChanges = 256 << 10
	keptCount   = 64
	// maxHistory bounds all changes that are kept, in bytes; maxHistoryCount their number. A reader that is no further behind
	// needs no whole: over 10 Mbit/s a whole of 10,000 routes takes seconds, in which dozens of changes may come.
	maxHistory      = 1 << 20
	maxHistoryCount = 1024
	// maxAfterWhole bounds the changes after a whole at one who passes on what others say, in bytes: then a newer whole is
	// asked for.
	maxAfterWhole = 4 * keptChanges
)

// follow gives the entry with further changes, the last of which leads to at.
func (e *entry) follow(at Version, changes ...Change) *entry {
	next := *e
	next.at = at
	next.changes = append(e.changes[:len(e.changes):len(e.changes)], changes...)
	for i := range changes {
		next.bytes += len(changes[i].Body)
		next.after += len(changes[i].Body)
	}
	next.trim()
	return &next
}

// rebase puts a whole at the newest version in the place of the older one.
func (e *entry) rebase(whole []byte) {
	e.base, e.whole, e.since, e.after = e.at, whole, len(e.changes), 0
	e.trim()
}

// trim forgets the oldest changes before the whole where there are too many.
func (e *entry) trim() {
	drop := 0
	for drop < e.since && (e.bytes > maxHistory || len(e.changes)-drop > maxHistoryCount) {
		e.bytes -= len(e.changes[drop].Body)
		e.first = e.changes[drop].At
		drop++
	}
	if drop > 0 {
		e.changes = slices.Clone(e.changes[drop:])
		e.since -= drop
	}
}

// news is what a reader lacks that has the version given; ok false: it has none. It gets changes alone where they are kept,
// unless a whole costs less.
func (e *entry) news(source string, had Version, ok bool) Resource {
	whole := Resource{Source: source, At: e.at, Since: e.base, Whole: e.whole, Changes: e.changes[e.since:]}
	if !ok {
		return whole
	}
	from := -1
	bytes := 0
	for i := len(e.changes) - 1; i >= 0 && from < 0; i-- {
		if e.changes[i].At == had {
			from = i + 1
			break
		}
		bytes += len(e.changes[i].Body)
	}
	if from < 0 && had == e.first {
		from = 0
	}
	if from < 0 || from < e.since && bytes > len(e.whole)+e.after {
		return whole
	}
	return Resource{Source: source, At: e.at, Since: had, Changes: e.changes[from:]}
}

// NewCache makes an empty store.
func NewCache() *Cache {
	return &Cache{Rested: NewOutbox(), Outcomes: NewOutcomeBox(), pieces: map[string]*entry{}, changed: make(chan struct{}), members: map[string]lease{}}
}

// Set puts the whole of a source there. It reports whether it was news.
func (s *Cache) Set(source string, at Version, whole []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(source, &entry{at: at, base: at, first: at, whole: whole})
}

func (s *Cache) set(source string, n *entry) bool {
	if h := s.pieces[source]; h != nil && !h.at.Before(n.at) {
		return false
	}
	s.pieces[source] = n
	s.signal()
	return true
}

// Append puts a change there that leads to the version given from the one before. It reports false where the source isn't at
// that: then Set is due. The whole is asked for where enough changes are kept since the last one.
func (s *Cache) Append(source string, from, at Version, c Change, whole func() []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.pieces[source]
	if e == nil || e.at != from {
		return false
	}
	next := e.follow(at, c)
	if next.after > keptChanges || len(next.changes)-next.since > keptCount {
		next.rebase(whole())
	}
	return s.set(source, next)
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
		pieces = append(pieces, h.news(source, had, ok))
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

// takeOne takes the news of one source; false: it doesn't follow on what is there.
func (s *Cache) takeOne(p *Resource) bool {
	if p.Whole != nil {
		e := &entry{at: p.Since, base: p.Since, whole: p.Whole, first: p.Since}
		s.set(p.Source, e.follow(p.At, p.Changes...))
		return true
	}
	e := s.pieces[p.Source]
	if e == nil || e.at != p.Since {
		return false
	}
	next := e.follow(p.At, p.Changes...)
	if next.after > maxAfterWhole {
		return false
	}
	s.set(p.Source, next)
	return true
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
		if p := &n.Resources[i]; !s.takeOne(p) {
			lacking = append(lacking, p.Source)
		}
	}
	if heard := now.Add(-time.Duration(n.FreshMs) * time.Millisecond); n.FreshMs >= 0 && heard.After(s.heardAt) {
		s.heardAt, s.primary = heard, n.Primary
	}
	return lacking
}
