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

const (
	// maxLogEntries bounds the entries of the log. Further pairs count under the region alone, without a subject.
	maxLogEntries = 1 << 16
	// batchInterval is the time between two batches, so that a busy pair costs the control plane little.
	batchInterval = 5 * time.Second
	// newPairDelay is the time between two batches where the later one reports a pair for the first time: where data is
	// held is to be known soon.
	newPairDelay = time.Second
	// flushTimeout bounds the last report to the node agent: the process is about to end.
	flushTimeout = 200 * time.Millisecond
)

// sendPurpose is what an attempt is for.
type sendPurpose int

const (
	purposePlain   sendPurpose = iota // a plain request
	purposePrefill                    // reads a prompt for a decode backend
	purposeDecode                     // makes tokens
	purposeResume                     // continues a stream that another backend began
	numPurposes
)

// purposeCounts counts attempts by purpose.
type purposeCounts [numPurposes]int64

// minus returns the counts less those of other.
func (c purposeCounts) minus(other purposeCounts) residencyreport.Counts {
	d := c
	for i := range d {
		d[i] -= other[i]
	}
	return residencyreport.Counts{
		Plain:    d[purposePlain],
		Prefills: d[purposePrefill],
		Decodes:  d[purposeDecode],
		Resumes:  d[purposeResume],
	}
}

// residencyEntry is when a subject's data was at backends of a region, by what this proxy sent there. A cached prefix
// or a KV handle that was not released may be held for longer; docs/design/regions.md says how long.
type residencyEntry struct {
	first, last time.Time
	counts      purposeCounts // of attempts that ran or may have run

	changes        int64         // how often the entry has changed
	logged         int64         // changes when it was last logged
	reported       int64         // changes when it was last put into a batch
	reportedCounts purposeCounts // counts that are in batches
}

// residencyLog is where data was held, by subject and region, and how much of that has been put into batches for the
// control plane. The lock of its tracker guards it.
type residencyLog struct {
	process residencyreport.Process // names this run of the process: counts begin anew with each
	entries map[residencyreport.Pair]*residencyEntry

	batches       uint64    // put so far; each has the next number
	nextBatch     time.Time // no batch before, unless there is a new pair
	earliestBatch time.Time // no batch before at all
	newPair       bool      // a pair is in no batch yet
	changed       bool      // since the last batch
}

// newResidencyLog returns an empty log for this run of the process.
func newResidencyLog() residencyLog {
	return residencyLog{
		process: residencyreport.Process(max(rand.Uint64(), 1)),
		entries: map[residencyreport.Pair]*residencyEntry{},
	}
}

// pair is the key of the log for a subject's data in a region.
func (s *subject) pair(region string) residencyreport.Pair {
	if s.tenant != "" {
		return residencyreport.Pair{Tenant: s.tenant, Region: region}
	}
	return residencyreport.Pair{Route: s.route, Region: region}
}

// pairSubject is the name of a pair's subject; empty: the pair counts those beyond maxLogEntries.
func pairSubject(p residencyreport.Pair) string {
	if p.Tenant == "" && p.Route == "" {
		return ""
	}
	s := subject{tenant: p.Tenant, route: p.Route}
	return s.name()
}

// entry returns the entry of a pair, or that of its region where the log is full; a new one begins at first.
func (l *residencyLog) entry(key residencyreport.Pair, first time.Time) *residencyEntry {
	if r := l.entries[key]; r != nil {
		return r
	}
	if len(l.entries) >= maxLogEntries {
		key = residencyreport.Pair{Region: key.Region}
		if r := l.entries[key]; r != nil {
			return r
		}
	}
	r := &residencyEntry{first: first}
	l.entries[key] = r
	l.newPair = true
	return r
}

// record records that data of an attempt was held at its backend until now, and whether the request ran or may have
// run.
func (rt *residencyTracker) record(send *trackedSend, now time.Time, ran bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	l := &rt.history
	r := l.entry(send.subject.pair(send.permits[0].Region()), send.since)
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

// logLine is an entry as it is logged.
type logLine struct {
	subject, region string
	entry           residencyEntry
}

// compareLogLines orders lines by subject, then by region.
func compareLogLines(a, b logLine) int {
	return slices.Compare([]string{a.subject, a.region}, []string{b.subject, b.region})
}

// changedLines returns the entries that have changed since the last call.
func (rt *residencyTracker) changedLines() []logLine {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	var lines []logLine
	for key, r := range rt.history.entries {
		if r.logged == r.changes {
			continue
		}
		r.logged = r.changes
		lines = append(lines, logLine{subject: pairSubject(key), region: key.Region, entry: *r})
	}
	return lines
}

// logChanges logs the entries that have changed since the last call, a line each.
func (rt *residencyTracker) logChanges(log *zap.Logger) {
	lines := rt.changedLines()
	slices.SortFunc(lines, compareLogLines)
	for _, l := range lines {
		log.Info("data residency",
			zap.String("subject", l.subject),
			zap.String("region", l.region),
			zap.Time("first", l.entry.first),
			zap.Time("last", l.entry.last),
			zap.Int64("plain", l.entry.counts[purposePlain]),
			zap.Int64("prefills", l.entry.counts[purposePrefill]),
			zap.Int64("decodes", l.entry.counts[purposeDecode]),
			zap.Int64("resumes", l.entry.counts[purposeResume]))
	}
}

// report puts the changed entries into a batch of the outbox, where one is due or the process ends. While the control
// plane acknowledges nothing and the outbox is full, changes wait in the log, so that none is lost.
func (rt *residencyTracker) report(now time.Time, out *distribution.ResidencyOutbox, ending bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	l := &rt.history
	if !l.due(now, ending) || out.PendingOf(l.process) >= residencyreport.MaxPendingBatches {
		return
	}
	l.nextBatch = now.Add(batchInterval)
	l.earliestBatch = now.Add(newPairDelay)
	batch, reported, more := l.nextChanges()
	if !out.Put(batch) {
		return
	}
	l.batches++
	for _, r := range reported {
		r.reported = r.changes
		r.reportedCounts = r.counts
	}
	l.changed, l.newPair = more, more
}

// due reports whether there is something to report, and it is time for that.
func (l *residencyLog) due(now time.Time, ending bool) bool {
	switch {
	case !l.changed:
		return false
	case ending:
		return true
	case now.Before(l.earliestBatch):
		return false
	}
	return l.newPair || !now.Before(l.nextBatch)
}

// nextChanges returns a batch of changed entries with what changed since they were last reported, those entries, and
// whether there are more than a batch takes. It changes nothing: the batch may be refused.
func (l *residencyLog) nextChanges() (batch residencyreport.Batch, reported []*residencyEntry, more bool) {
	batch = residencyreport.Batch{Process: l.process, N: l.batches + 1}
	for key, r := range l.entries {
		if r.reported == r.changes {
			continue
		}
		if len(batch.Entries) == residencyreport.MaxBatchEntries {
			return batch, reported, true
		}
		first := r.first.UnixMilli()
		batch.Entries = append(batch.Entries, residencyreport.Entry{
			Pair:   key,
			First:  first,
			Last:   max(first, r.last.UnixMilli()), // the clock may have been set back in between
			Counts: r.counts.minus(r.reportedCounts),
		})
		reported = append(reported, r)
	}
	return batch, reported, false
}

// flushReports tells the node agent that the process ends, with what is left in the residency log. It blocks for
// flushTimeout at the most; what the node agent doesn't take by then is lost.
func (p *Proxy) flushReports() {
	p.residency.report(time.Now(), p.residencyReports, true)
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = distribution.Watch(ctx, distribution.NodeAgentAddr(p.settings.Ports), &distribution.Watcher{
		Name:        p.settings.NodeName,
		ReadTimeout: flushTimeout,
		Members:     func() []distribution.Member { return nil },
		Versions:    func() map[string]distribution.Version { return nil },
		Apply:       func(*distribution.Response) []string { return nil },
		Residency:   func(time.Time) *distribution.ResidencyOutbox { return p.residencyReports },
		Final:       true,
	})
}
