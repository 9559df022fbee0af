package simulation

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// EntryKind is the kind of an arrival at an Engine.
type EntryKind string

// The kinds of entries.
const (
	KindRequest EntryKind = "request" // a client's request, to be run
	KindPrefill EntryKind = "prefill" // a request with X-Molepaddle-Stage: prefill
	KindOrder   EntryKind = "order"   // an order to change the phase
	KindProbe   EntryKind = "probe"   // a health check
	KindReport  EntryKind = "report"  // a poll of the load report
	KindFree    EntryKind = "free"    // DELETE of a handle
)

// A Part is one part of a prompt: its ID in hex and its length in tokens.
type Part struct {
	ID     string
	Tokens int
}

// Entry is one arrival at an Engine with its outcome.
type Entry struct {
	Seq     uint64    // order among all Engines of this process
	At      time.Time // when it was read completely
	Began   time.Time // when its work began; zero before
	Ended   time.Time // when its slot was released, before the end of its answer is sent; zero before
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

	KVFrom            string // Kv-From
	Handle            string // kv_ref issued (prefill), fetched (request) or freed
	HandleOwner       string // attempt whose prefill issued the handle that was fetched
	PrefillTokens     int    // prompt tokens prefilled here
	CachedTokens      int    // prompt tokens found in the cache here
	TransferredTokens int    // prompt tokens transferred from another Engine

	Owner string // owner of an order
	Gen   int64  // gen of an order

	Ran        bool // its work began (requests, prefills)
	Status     int  // 0 when no answer was sent
	NotRun     bool // the answer carried X-Molepaddle-Not-Run
	Seal       string
	AnswerHash uint64 // xxhash of the complete body, also when it was cut (plain answers)
	FirstEvent int    // id of the first event of this run; 0 when it is no stream
	LastEvent  int    // id of the last event that was sent; FirstEvent-1 when none was
	Total      int    // id of the last event of the complete stream
	Complete   bool   // the complete answer was sent
	Broke      bool   // the Engine itself cut or garbled the answer, or sent none
}

// CachedPart is one part of a prompt that is or was cached at an Engine.
type CachedPart struct {
	Engine      string
	Service     string
	Zone        string
	Region      string
	Model       string
	Ver         int
	Part        Part
	Attempt     string    // the attempt whose prompt it was
	Transferred bool      // cached by a transfer, not by a prefill
	CachedAt    time.Time // when it became usable by other requests
	EvictedAt   time.Time // zero while it is cached
}

// entrySeq counts the entries of this process.
var entrySeq atomic.Uint64

// Log records the arrivals at one Engine and the parts of prompts that it cached. It is safe for concurrent use.
type Log struct {
	mu          sync.Mutex
	entries     []*Entry
	cachedParts []*CachedPart
	changed     chan struct{} // closed at the next change; nil without waiters
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

// CachedParts returns a copy of all parts cached so far, with those evicted, in the order in which they came.
func (l *Log) CachedParts() []CachedPart {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]CachedPart, len(l.cachedParts))
	for i, k := range l.cachedParts {
		out[i] = *k
	}
	return out
}

// Wait blocks until ok returns true for a copy of the entries, and returns that; or the last one with ctx's error. It
// calls ok again after each change, also of the Engine's load, handles and phase.
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

// edit calls change under the lock and wakes the waiters. change may do nothing, to only wake them.
func (l *Log) edit(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
