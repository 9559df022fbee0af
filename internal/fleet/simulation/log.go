package simulation

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// EntryKind tells what arrived at an Engine.
type EntryKind string

// The kinds of entries.
const (
	KindRequest EntryKind = "request" // a client's request, to be run
	KindPrefill EntryKind = "prefill" // a request with X-Molepaddle-Stage: prefill, to be read only
	KindOrder   EntryKind = "order"
	KindProbe   EntryKind = "probe"
	KindReport  EntryKind = "report"
	KindFree    EntryKind = "free" // DELETE of a handle
)

// Part is one part of a prompt: its ID in hex and its length in tokens.
type Part struct {
	ID     string
	Tokens int
}

// Entry is one arrival at an Engine, with what became of it.
type Entry struct {
	Seq     uint64 // order among all Engines of this process
	At      time.Time
	Began   time.Time // when work began; zero while it has not
	Ended   time.Time // when its place was given back, before the end of its answer goes out; zero while it is at work
	Kind    EntryKind
	Engine  string // id
	Address string
	Service string
	Zone    string
	Region  string
	Phase   Phase

	Attempt  string
	Method   string
	Path     string // with the query, as sent
	Host     string
	Header   http.Header
	Body     []byte
	BodyHash uint64 // xxhash of Body
	Stage    string // X-Molepaddle-Stage
	Model    string
	Parts    []Part
	Priority int
	Deadline time.Duration // X-Molepaddle-Deadline-Ms; 0 when absent

	KVFrom      string // Kv-From
	Handle      string // kv_ref made (prefill), taken (request) or freed
	HandleOwner string // attempt whose prompt made the handle that was taken
	ReadTokens  int    // prompt tokens read here
	KeptTokens  int    // prompt tokens found kept here
	MovedTokens int    // tokens fetched over a move

	Owner string // orders: owner, gen
	Gen   int64

	Ran        bool // work began on it (requests), or the prompt was read (prefill)
	Status     int  // 0 when no answer went out
	NotRun     bool // the answer carried X-Molepaddle-Not-Run
	Seal       string
	AnswerHash uint64 // xxhash of the whole body meant for the caller (plain answers)
	FirstEvent int    // id of the first event of this run; 0 when it is no stream
	LastEvent  int    // id of the last event that went out; FirstEvent-1 when none did
	Total      int    // id of the event that ends the whole stream
	Complete   bool   // the whole answer went out
	Broke      bool   // the Engine itself broke the answer off or garbled it
}

// CachedPart is one part of a prompt kept at an Engine, now or earlier.
type CachedPart struct {
	Engine      string
	Service     string
	Zone        string
	Region      string
	Model       string
	Ver         int
	Part        Part
	Attempt     string    // the attempt that brought it
	Transferred bool      // it came by a move
	CachedAt    time.Time // kept from
	EvictedAt   time.Time // given up at; zero while kept
}

var entrySeq atomic.Uint64

// Log holds what arrived at one Engine and what it kept. It is safe for concurrent use.
type Log struct {
	mu          sync.Mutex
	entries     []*Entry
	cachedParts []*CachedPart
	changed     chan struct{}
}

// Entries returns a copy of all entries, in the order in which they arrived.
func (l *Log) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, len(l.entries))
	for i, e := range l.entries {
		out[i] = *e
	}
	return out
}

// CachedParts returns a copy of all parts kept so far, those given up included, in the order in which they came.
func (l *Log) CachedParts() []CachedPart {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]CachedPart, len(l.cachedParts))
	for i, k := range l.cachedParts {
		out[i] = *k
	}
	return out
}

// Wait returns the entries as soon as ok holds of them, or the last ones and ctx's error.
func (l *Log) Wait(ctx context.Context, ok func([]Entry) bool) ([]Entry, error) {
	for {
		l.mu.Lock()
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		ch := l.changed
		l.mu.Unlock()
		es := l.Entries()
		if ok(es) {
			return es, nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return es, ctx.Err()
		}
	}
}

// add records a new entry.
func (l *Log) add(e *Entry) {
	e.Seq = entrySeq.Add(1)
	l.edit(func() { l.entries = append(l.entries, e) })
}

// edit changes entries under the lock and wakes those who wait.
func (l *Log) edit(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
