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

// sendPurpose is what a send is for.
type sendPurpose int

const (
	purposePlain sendPurpose = iota
	purposePrefill
	purposeDecode
	purposeResume
	numPurposes
)

// residencyEntry is an entry of the ledger: when a subject's data was at backends of a region, by what this proxy sent there. A
// part kept there or a handle not freed may rest for longer; docs/design/regions.md says how long.
type residencyEntry struct {
	first, last    time.Time
	counts         [numPurposes]int64 // that ran or may have run
	changes        int64
	logged         int64              // changes when the entry was last reported
	reported       int64              // changes when it was last put into a batch
	reportedCounts [numPurposes]int64 // counts that are in batches
}

// residencyLog is where data was, by subject and region, and what of that is on its way to the record.
type residencyLog struct {
	process       residencyreport.Process
	batches       uint64
	nextBatch     time.Time // no batch before, but for a first sight
	earliestBatch time.Time // no batch before at all
	entries       map[residencyreport.Pair]*residencyEntry
	newPair       bool // an entry is in no batch yet
	changed       bool // since the last batch
}

const (
	// maxLogEntries bounds the entries of the ledger. What comes beyond it is counted under no name.
	maxLogEntries = 1 << 16
	// batchInterval is the time between two batches, newPairDelay that before one with a region that was not told yet.
	batchInterval, newPairDelay = 5 * time.Second, time.Second
)

func newResidencyLog() residencyLog {
	return residencyLog{process: residencyreport.Process(max(rand.Uint64(), 1)), entries: map[residencyreport.Pair]*residencyEntry{}}
}

// pair is where the ledger has a subject's data in a region.
func (s *subject) pair(region string) residencyreport.Pair {
	if s.tenant != "" {
		return residencyreport.Pair{Tenant: s.tenant, Region: region}
	}
	return residencyreport.Pair{Route: s.route, Region: region}
}

// pairSubject names whose data a pair tells of; empty: that of many.
func pairSubject(p residencyreport.Pair) string {
	if p.Tenant == "" && p.Route == "" {
		return ""
	}
	s := subject{tenant: p.Tenant, route: p.Route}
	return s.name()
}

// scanEvents takes down that data was sent to a region, and was there until now.
func (rt *residencyTracker) record(send *trackedSend, now time.Time, ran bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	l := &rt.history
	key := send.subject.pair(send.permits[0].Region())
	r := l.entries[key]
	if r == nil {
		if len(l.entries) >= maxLogEntries {
			key = residencyreport.Pair{Region: key.Region}
		}
		if r = l.entries[key]; r == nil {
			r = &residencyEntry{first: send.since}
			l.entries[key], l.newPair = r, true
		}
	}
	if send.since.Before(r.first) {
		r.first = send.since
	}
	r.last = now
	r.changes++
	l.changed = true
	if ran {
		r.counts[send.purpose]++
	}
}

// logChanges writes the ledger's entries that have changed, one line each.
func (rt *residencyTracker) logChanges(log *zap.Logger) {
	type line struct {
		of, region string
		r          residencyEntry
	}
	var lines []line
	rt.mu.Lock()
	for key, r := range rt.history.entries {
		if r.logged != r.changes {
			r.logged = r.changes
			lines = append(lines, line{pairSubject(key), key.Region, *r})
		}
	}
	rt.mu.Unlock()
	slices.SortFunc(lines, func(a, b line) int { return slices.Compare([]string{a.of, a.region}, []string{b.of, b.region}) })
	for _, l := range lines {
		log.Info("rested", zap.String("of", l.of), zap.String("region", l.region), zap.Time("first", l.r.first), zap.Time("last", l.r.last),
			zap.Int64("plain", l.r.counts[purposePlain]), zap.Int64("prefills", l.r.counts[purposePrefill]), zap.Int64("decodes", l.r.counts[purposeDecode]),
			zap.Int64("resumes", l.r.counts[purposeResume]))
	}
}

// report puts what changed in the ledger into batches, where that is due or the process ends. Nothing is done while nothing
// changed; while the control plane keeps nothing, what changes waits in the ledger.
func (rt *residencyTracker) report(now time.Time, out *distribution.ResidencyOutbox, ending bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	l := &rt.history
	if !l.changed || !ending && (now.Before(l.earliestBatch) || now.Before(l.nextBatch) && !l.newPair) {
		return
	}
	if out.PendingOf(l.process) >= residencyreport.MaxPendingBatches {
		return
	}
	l.nextBatch, l.earliestBatch = now.Add(batchInterval), now.Add(newPairDelay)
	b := residencyreport.Batch{Process: l.process, N: l.batches + 1}
	var taken []*residencyEntry
	more := false
	for key, r := range l.entries {
		if r.reported == r.changes {
			continue
		}
		if len(b.Entries) == residencyreport.MaxBatchEntries {
			more = true
			break
		}
		d := r.counts
		for i := range d {
			d[i] -= r.reportedCounts[i]
		}
		first, last := r.first.UnixMilli(), r.last.UnixMilli() // the clock may have been set back in between
		b.Entries = append(b.Entries, residencyreport.Entry{Pair: key, First: first, Last: max(first, last),
			Counts: residencyreport.Counts{Plain: d[purposePlain], Prefills: d[purposePrefill], Decodes: d[purposeDecode], Resumes: d[purposeResume]}})
		taken = append(taken, r)
	}
	if !out.Put(b) {
		return
	}
	l.batches++
	for _, r := range taken {
		r.reported, r.reportedCounts = r.changes, r.counts
	}
	l.changed, l.newPair = more, more
}

// flushResidencyReports gives the node agent what is left in the ledger as the process ends, within a time that its end has to spare.
func (p *Proxy) flushResidencyReports() {
	p.residency.report(time.Now(), p.residencyReports, true)
	if !p.residencyReports.Used() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = distribution.Watch(ctx, distribution.NodeAgentAddr(p.settings.Ports), &distribution.Watcher{Name: p.settings.NodeName, ReadTimeout: flushTimeout,
		Members:   func() []distribution.Member { return nil },
		Versions:  func() map[string]distribution.Version { return nil },
		Apply:     func(*distribution.Response) []string { return nil },
		Residency: func(time.Time) *distribution.ResidencyOutbox { return p.residencyReports },
		Final:     true})
}

// flushTimeout bounds the last word to the node agent.
const flushTimeout = 200 * time.Millisecond
