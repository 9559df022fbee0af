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
	// maxLogEntries bounds the entries of the log. Further subject and region pairs are counted by region alone.
	maxLogEntries = 1 << 16
	// batchInterval is the time between two batches, so that a busy pair costs the control plane little.
	batchInterval = 5 * time.Second
	// newPairDelay is the time between two batches if the later one reports a pair for the first time, as the places
	// where data is held have to be known soon.
	newPairDelay = time.Second
	// flushTimeout bounds the last report to the node agent before the process ends.
	flushTimeout = 200 * time.Millisecond
)

// sendPurpose is the purpose of an attempt.
type sendPurpose int

const (
	purposePlain   sendPurpose = iota // a plain request
	purposePrefill                    // prefills a prompt for a decode backend
	purposeDecode                     // generates tokens
	purposeResume                     // continues a stream that another backend started
	numPurposes
)

// purposeCounts counts attempts by purpose.
type purposeCounts [numPurposes]int64

// minus returns the difference of the counts and other.
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

// residencyEntry records when a subject's data was at backends of a region, as far as this proxy sent it there. A
// cached prefix or an unreleased KV handle may be held for longer; docs/design/regions.md says for how long.
type residencyEntry struct {
	first, last time.Time
	counts      purposeCounts // attempts that ran or may have run

	changes        int64         // number of changes to the entry
	logged         int64         // value of changes when it was last logged
	reported       int64         // value of changes when it was last put into a batch
	reportedCounts purposeCounts // counts already in batches
}

// residencyLog records where data was held, by subject and region, and how much of that has been put into batches for
// the control plane. It is guarded by the lock of its tracker.
type residencyLog struct {
	process residencyreport.Process // identifies this run of the process: counts start at 0 with each
	entries map[residencyreport.Pair]*residencyEntry

	batches       uint64    // number of batches put so far; each has the next number
	nextBatch     time.Time // time of the next batch, unless there is a new pair
	earliestBatch time.Time // time before which no batch is put at all
	newPair       bool      // a pair has not been put into a batch yet
	changed       bool      // since the last batch
}

// newResidencyLog returns an empty log for this run of the process.
func newResidencyLog() residencyLog {
	return residencyLog{
		process: residencyreport.Process(max(rand.Uint64(), 1)),
		entries: map[residencyreport.Pair]*residencyEntry{},
	}
}

// pair returns the key of the log entry for a subject's data in a region.
func (s *subject) pair(region string) residencyreport.Pair {
	if s.tenant != "" {
		return residencyreport.Pair{Tenant: s.tenant, Region: region}
	}
	return residencyreport.Pair{Route: s.route, Region: region}
}

// pairSubject returns the name of a pair's subject; empty if the pair counts those beyond maxLogEntries.
func pairSubject(p residencyreport.Pair) string {
	if p.Tenant == "" && p.Route == "" {
		return ""
	}
	s := subject{tenant: p.Tenant, route: p.Route}
	return s.name()
}

// entry returns the entry of a pair, or that of its region if the log is full. A new entry starts at first.
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

// logLine is a log line for one entry.
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

// logChanges logs the entries that have changed since the last call, one line each.
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

// report puts the changed entries into a batch of the outbox, if one is due or the process is ending. While the control
// plane acknowledges no batches and the outbox is full, changes stay in the log, so that none is lost.
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

// due reports whether there are changes, and a batch with them is due.
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

// nextChanges returns a batch with the changes of entries since they were last reported, those entries, and whether
// there are more than fit into a batch. It does not modify the log, as the outbox may refuse the batch.
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

// flushReports sends the remaining changes of the residency log to the node agent and announces the end of the process.
// It blocks for at most flushTimeout; reports that are not accepted by then are lost.
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
