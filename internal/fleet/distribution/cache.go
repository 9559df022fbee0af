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
	Residency *ResidencyOutbox // where tenants' data rested, by those that pull, on its way to the record
	Outcomes  *OutcomeQueue    // how attempts at backends ended, on their way to the primary

	mu        sync.Mutex
	entries   map[string]*entry
	changed   chan struct{} // closed and made anew with each change
	primary   string
	contactAt time.Time // when the chain of sources last heard the primary
	leases    map[string]lease
}

// entry is a source as it is passed on: a whole at one version, the changes that lead from there to the newest version, and
// those before it, for readers that are behind. It never changes once it is in the cache.
type entry struct {
	version            Version
	snapshotVersion    Version // of whole
	snapshot           []byte
	historyStart       Version  // what the oldest change follows on
	changes            []Change // the oldest first, without gaps
	afterSnapshot      int      // the first of them that comes after whole
	changeBytes        int      // of all changes
	bytesAfterSnapshot int      // of those after whole
}

type lease struct {
	Member    // as at the renewal
	renewedAt time.Time
}

const (
	// maxBytesAfterSnapshot bounds the changes that a source keeps after its whole, in bytes; maxChangesAfterSnapshot their number.
	maxBytesAfterSnapshot   = 256 << 10
	maxChangesAfterSnapshot = 64
	// maxHistoryBytes bounds all changes that are kept, in bytes; maxHistoryChanges their number. A reader that is no further behind
	// needs no whole: over 10 Mbit/s a whole of 10,000 routes takes seconds, in which dozens of changes may come.
	maxHistoryBytes   = 1 << 20
	maxHistoryChanges = 1024
	// maxRelayBytesAfterSnapshot bounds the changes after a whole at one who passes on what others say, in bytes: then a newer whole is
	// asked for.
	maxRelayBytesAfterSnapshot = 4 * maxBytesAfterSnapshot
)

// withChanges gives the entry with further changes, the last of which leads to at.
func (e *entry) withChanges(at Version, changes ...Change) *entry {
	next := *e
	next.version = at
	next.changes = append(e.changes[:len(e.changes):len(e.changes)], changes...)
	for i := range changes {
		next.changeBytes += len(changes[i].Body)
		next.bytesAfterSnapshot += len(changes[i].Body)
	}
	next.trimHistory()
	return &next
}

// replaceSnapshot puts a whole at the newest version in the place of the older one.
func (e *entry) replaceSnapshot(snapshot []byte) {
	e.snapshotVersion, e.snapshot, e.afterSnapshot, e.bytesAfterSnapshot = e.version, snapshot, len(e.changes), 0
	e.trimHistory()
}

// trimHistory forgets the oldest changes before the whole where there are too many.
func (e *entry) trimHistory() {
	drop := 0
	for drop < e.afterSnapshot && (e.changeBytes > maxHistoryBytes || len(e.changes)-drop > maxHistoryChanges) {
		e.changeBytes -= len(e.changes[drop].Body)
		e.historyStart = e.changes[drop].Version
		drop++
	}
	if drop > 0 {
		e.changes = slices.Clone(e.changes[drop:])
		e.afterSnapshot -= drop
	}
}

// resourceSince is what a reader lacks that has the version given; ok false: it has none. It gets changes alone where they are kept,
// unless a whole costs less.
func (e *entry) resourceSince(resourceType string, had Version, ok bool) Resource {
	whole := Resource{Type: resourceType, Version: e.version, BaseVersion: e.snapshotVersion, Snapshot: e.snapshot, Changes: e.changes[e.afterSnapshot:]}
	if !ok {
		return whole
	}
	from := -1
	bytes := 0
	for i := len(e.changes) - 1; i >= 0 && from < 0; i-- {
		if e.changes[i].Version == had {
			from = i + 1
			break
		}
		bytes += len(e.changes[i].Body)
	}
	if from < 0 && had == e.historyStart {
		from = 0
	}
	if from < 0 || from < e.afterSnapshot && bytes > len(e.snapshot)+e.bytesAfterSnapshot {
		return whole
	}
	return Resource{Type: resourceType, Version: e.version, BaseVersion: had, Changes: e.changes[from:]}
}

// NewCache makes an empty store.
func NewCache() *Cache {
	return &Cache{Residency: NewResidencyOutbox(), Outcomes: NewOutcomeQueue(), entries: map[string]*entry{}, changed: make(chan struct{}), leases: map[string]lease{}}
}

// SetSnapshot puts the whole of a source there. It reports whether it was news.
func (c *Cache) SetSnapshot(resourceType string, at Version, snapshot []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store(resourceType, &entry{version: at, snapshotVersion: at, historyStart: at, snapshot: snapshot})
}

func (c *Cache) store(resourceType string, n *entry) bool {
	if h := c.entries[resourceType]; h != nil && !h.version.Before(n.version) {
		return false
	}
	c.entries[resourceType] = n
	c.signal()
	return true
}

// AppendChange puts a change there that leads to the version given from the one before. It reports false where the source isn't at
// that: then Set is due. The whole is asked for where enough changes are kept since the last one.
func (c *Cache) AppendChange(resourceType string, from, at Version, change Change, snapshot func() []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[resourceType]
	if e == nil || e.version != from {
		return false
	}
	next := e.withChanges(at, change)
	if next.bytesAfterSnapshot > maxBytesAfterSnapshot || len(next.changes)-next.afterSnapshot > maxChangesAfterSnapshot {
		next.replaceSnapshot(snapshot())
	}
	return c.store(resourceType, next)
}

func (c *Cache) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Version is the version of a source; false: nothing is there.
func (c *Cache) Version(resourceType string) (Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.entries[resourceType]
	if h == nil {
		return Version{}, false
	}
	return h.version, true
}

// Changed is closed at the next change.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Versions is the vector of versions entry.
func (c *Cache) Versions() map[string]Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	have := make(map[string]Version, len(c.entries))
	for resourceType, h := range c.entries {
		have[resourceType] = h.version
	}
	return have
}

// Renew notes leases that a pull renews.
func (c *Cache) Renew(members []Member, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range members {
		at := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
		if l, ok := c.leases[m.Name]; (!ok && len(c.leases) < maxLeases) || at.After(l.renewedAt) {
			c.leases[m.Name] = lease{Member: m, renewedAt: at}
		}
	}
}

// maxLeases bounds who may hold a lease here.
const maxLeases = 20_000

// Members are those whose lease is younger than the age given; others are forgotten.
func (c *Cache) Members(now time.Time, age time.Duration) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Member
	for name, l := range c.leases {
		if old := now.Sub(l.renewedAt); old < age {
			l.AgeMs = old.Milliseconds()
			all = append(all, l.Member)
		} else {
			delete(c.leases, name)
		}
	}
	return all
}

// RecordContact notes when the primary was last heard of, and where it is.
func (c *Cache) RecordContact(primary string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.contactAt) {
		c.contactAt, c.primary = at, primary
	}
}

// LastContact tells when the primary was last heard of, and where it is.
func (c *Cache) LastContact() (time.Time, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contactAt, c.primary
}

// resourceSince gathers what p lacks; nil: nothing.
func (c *Cache) resourcesSince(have map[string]Version) []Resource {
	var pieces []Resource
	for resourceType, h := range c.entries {
		had, ok := have[resourceType]
		if ok && !had.Before(h.version) {
			continue
		}
		pieces = append(pieces, h.resourceSince(resourceType, had, ok))
	}
	return pieces
}

// Fetch answers a pull: at once where something is new, else when something is or its time is up.
func (c *Cache) Fetch(ctx context.Context, from string, p *Request) *Response {
	return c.fetch(ctx, from, p, func() {})
}

// fetch calls refresh each time before it looks for news: what the answer claims to be as new as is known before its content
// is gathered.
func (c *Cache) fetch(ctx context.Context, from string, p *Request, refresh func()) *Response {
	wait := time.NewTimer(time.Duration(p.WaitMs) * time.Millisecond)
	defer wait.Stop()
	asked := time.Now()
	for over := false; ; {
		held := time.Since(asked) // before the age: what comes between them counts twice, and never not at all
		refresh()
		c.mu.Lock()
		pieces, changed := c.resourcesSince(p.Versions), c.changed
		heard, primary := c.contactAt, c.primary
		c.mu.Unlock()
		if len(pieces) > 0 || over || ctx.Err() != nil {
			n := &Response{From: from, Primary: primary, LastContactMs: -1, Resources: pieces, WaitedMs: held.Milliseconds()}
			if !heard.IsZero() {
				n.LastContactMs = ageMs(heard)
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

// applyResource takes the news of one source; false: it doesn't follow on what is there.
func (c *Cache) applyResource(p *Resource) bool {
	if p.Snapshot != nil {
		e := &entry{version: p.BaseVersion, snapshotVersion: p.BaseVersion, snapshot: p.Snapshot, historyStart: p.BaseVersion}
		c.store(p.Type, e.withChanges(p.Version, p.Changes...))
		return true
	}
	e := c.entries[p.Type]
	if e == nil || e.version != p.BaseVersion {
		return false
	}
	next := e.withChanges(p.Version, p.Changes...)
	if next.bytesAfterSnapshot > maxRelayBytesAfterSnapshot {
		return false
	}
	c.store(p.Type, next)
	return true
}

// ageMs is how old a moment is in milliseconds, rounded up: an age that is told on never shrinks.
func ageMs(since time.Time) int64 {
	return (time.Since(since) + time.Millisecond - 1).Milliseconds()
}

// Apply takes news to pass on. Sources whose changes don't follow on what is entry are named: whoever pulls then asks for
// them as if it had nothing.
func (c *Cache) Apply(n *Response, now time.Time) (lacking []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range n.Resources {
		if p := &n.Resources[i]; !c.applyResource(p) {
			lacking = append(lacking, p.Type)
		}
	}
	if heard := now.Add(-time.Duration(n.LastContactMs) * time.Millisecond); n.LastContactMs >= 0 && heard.After(c.contactAt) {
		c.contactAt, c.primary = heard, n.Primary
	}
	return lacking
}
