package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/residencyreport"
)

// use is what a send is for.
type use int

const (
	usePlain use = iota
	usePrefill
	useDecode
	useResume
	uses
)

// rested is an entry of the ledger: when a subject's data was at backends of a region, by what this proxy sent there. A
// part kept there or a handle not freed may rest for longer; docs/design/regions.md says how long.
type rested struct {
	first, last time.Time
	counts      [uses]int64 // that ran or may have run
	changes     int64
	told        int64       // changes when the entry was last reported
	handed      int64       // changes when it was last put into a batch
	given       [uses]int64 // counts that are in batches
}

// ledger is where data was, by subject and region, and what of that is on its way to the record.
type ledger struct {
	process residencyreport.Process
	batches uint64
	next    time.Time // no batch before, but for a first sight
	soon    time.Time // no batch before at all
	entries map[residencyreport.Pair]*rested
	fresh   bool // an entry is in no batch yet
	changed bool // since the last batch
}

const (
	// maxLedger bounds the entries of the ledger. What comes beyond it is counted under no name.
	maxLedger = 1 << 16
	// batchEvery is the time between two batches, firstSight that before one with a region that was not told yet.
	batchEvery, firstSight = 5 * time.Second, time.Second
)

func newLedger() ledger {
	return ledger{process: residencyreport.Process(max(rand.Uint64(), 1)), entries: map[residencyreport.Pair]*rested{}}
}

// pair is where the ledger has a subject's data in a region.
func (s *subject) pair(region string) residencyreport.Pair {
	if s.tenant != "" {
		return residencyreport.Pair{Tenant: s.tenant, Region: region}
	}
	return residencyreport.Pair{Route: s.route, Region: region}
}

// pairName names whose data a pair tells of; empty: that of many.
func pairName(p residencyreport.Pair) string {
	if p.Tenant == "" && p.Route == "" {
		return ""
	}
	s := subject{tenant: p.Tenant, route: p.Route}
	return s.name()
}

// note takes down that data was sent to a region, and was there until now.
func (e *enclosed) note(h *held, now time.Time, ran bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &e.ledger
	key := h.subject.pair(h.rests[0].Region())
	r := l.entries[key]
	if r == nil {
		if len(l.entries) >= maxLedger {
			key = residencyreport.Pair{Region: key.Region}
		}
		if r = l.entries[key]; r == nil {
			r = &rested{first: h.since}
			l.entries[key], l.fresh = r, true
		}
	}
	if h.since.Before(r.first) {
		r.first = h.since
	}
	r.last = now
	r.changes++
	l.changed = true
	if ran {
		r.counts[h.use]++
	}
}

// report writes the ledger's entries that have changed, one line each.
func (e *enclosed) report(log *zap.Logger) {
	type line struct {
		of, region string
		r          rested
	}
	var lines []line
	e.mu.Lock()
	for key, r := range e.ledger.entries {
		if r.told != r.changes {
			r.told = r.changes
			lines = append(lines, line{pairName(key), key.Region, *r})
		}
	}
	e.mu.Unlock()
	slices.SortFunc(lines, func(a, b line) int { return slices.Compare([]string{a.of, a.region}, []string{b.of, b.region}) })
	for _, l := range lines {
		log.Info("rested", zap.String("of", l.of), zap.String("region", l.region), zap.Time("first", l.r.first), zap.Time("last", l.r.last),
			zap.Int64("plain", l.r.counts[usePlain]), zap.Int64("prefills", l.r.counts[usePrefill]), zap.Int64("decodes", l.r.counts[useDecode]),
			zap.Int64("resumes", l.r.counts[useResume]))
	}
}

// hand puts what changed in the ledger into batches, where that is due or the process ends. Nothing is done while nothing
// changed; while the control plane keeps nothing, what changes waits in the ledger.
func (e *enclosed) hand(now time.Time, out *distribution.ResidencyOutbox, ending bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &e.ledger
	if !l.changed || !ending && (now.Before(l.soon) || now.Before(l.next) && !l.fresh) {
		return
	}
	if out.PendingOf(l.process) >= residencyreport.MaxPendingBatches {
		return
	}
	l.next, l.soon = now.Add(batchEvery), now.Add(firstSight)
	b := residencyreport.Batch{Process: l.process, N: l.batches + 1}
	var taken []*rested
	more := false
	for key, r := range l.entries {
		if r.handed == r.changes {
			continue
		}
		if len(b.Entries) == residencyreport.MaxBatchEntries {
			more = true
			break
		}
		d := r.counts
		for i := range d {
			d[i] -= r.given[i]
		}
		first, last := r.first.UnixMilli(), r.last.UnixMilli() // the clock may have been set back in between
		b.Entries = append(b.Entries, residencyreport.Entry{Pair: key, First: first, Last: max(first, last),
			Counts: residencyreport.Counts{Plain: d[usePlain], Prefills: d[usePrefill], Decodes: d[useDecode], Resumes: d[useResume]}})
		taken = append(taken, r)
	}
	if !out.Put(b) {
		return
	}
	l.batches++
	for _, r := range taken {
		r.handed, r.given = r.changes, r.counts
	}
	l.changed, l.fresh = more, more
}

// handOver gives the node agent what is left in the ledger as the process ends, within a time that its end has to spare.
func (v *Proxy) handOver() {
	v.enclosed.hand(time.Now(), v.rested, true)
	if !v.rested.Used() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverWithin)
	defer cancel()
	_ = distribution.Watch(ctx, distribution.NodeAgentAddr(v.set.Ports), &distribution.Watcher{Name: v.set.NodeName, ReadTimeout: handOverWithin,
		Members:   func() []distribution.Member { return nil },
		Versions:  func() map[string]distribution.Version { return nil },
		Apply:     func(*distribution.Response) []string { return nil },
		Residency: func(time.Time) *distribution.ResidencyOutbox { return v.rested },
		Final:     true})
}

// handOverWithin bounds the last word to the node agent.
const handOverWithin = 200 * time.Millisecond
