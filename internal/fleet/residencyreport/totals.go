package residencyreport

import (
	"cmp"
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// Limits of the totals; docs/design/regions.md gives the reasons.
const (
	// MaxPairs is the maximum number of pairs in the record; further ones are counted under the zero Pair.
	MaxPairs = 1 << 16
	// MaxProcesses is the maximum number of processes whose progress is in the record; the one that reported least
	// recently is evicted first.
	MaxProcesses = 1 << 14
	// MaxUpdateEntries is the maximum number of entries of one update. A batch is never split, so the last one may
	// exceed it.
	MaxUpdateEntries = 4096
)

// Totals is the state of the record: the totals of each pair, and the last applied batch of each process. It is
// immutable and may be read from any goroutine. nil is an empty Totals.
type Totals struct {
	pairs     map[Pair]Entry
	processes map[Process]progress
	updates   uint64 // number of applied updates
}

// progress has the number of a process's last applied batch, and of the update that included it.
type progress struct{ n, at uint64 }

// merge merges another entry of the same pair into e.
func (e *Entry) merge(o *Entry) {
	e.First = min(e.First, o.First)
	e.Last = max(e.Last, o.Last)
	e.Counts.add(o.Counts)
}

func (c *Counts) add(o Counts) {
	c.Plain += o.Plain
	c.Prefills += o.Prefills
	c.Decodes += o.Decodes
	c.Resumes += o.Resumes
}

func (p Pair) compare(o Pair) int {
	return cmp.Or(
		cmp.Compare(p.Tenant, o.Tenant),
		cmp.Compare(p.Route, o.Route),
		cmp.Compare(p.Region, o.Region),
	)
}

// mergeBounded merges an entry into pairs. If that would add a pair beyond most pairs, the entry is counted under the
// zero Pair instead, so that no count is lost.
func mergeBounded(pairs map[Pair]Entry, e Entry, most int) {
	have, ok := pairs[e.Pair]
	if !ok && len(pairs) >= most {
		e.Pair = Pair{}
		have, ok = pairs[e.Pair]
	}
	if ok {
		have.merge(&e)
		e = have
	}
	pairs[e.Pair] = e
}

// AckedUpTo returns the number of the last applied batch of a process; 0 if there is none or the process was evicted.
func (t *Totals) AckedUpTo(p Process) uint64 {
	if t == nil {
		return 0
	}
	return t.processes[p].n
}

// Has reports whether the totals have an entry for a pair.
func (t *Totals) Has(p Pair) bool {
	if t == nil {
		return false
	}
	_, ok := t.pairs[p]
	return ok
}

// Merge returns one update with the batches that are not in these totals yet. The batches of a process must be in the
// order of their numbers; applied ones are skipped. more is true if some batches did not fit into the update. An
// unknown process whose first batch here isn't number 1 was evicted: which of its batches were counted is unknown, so
// its times are merged, but not its counts.
func (t *Totals) Merge(batches []Batch) (u Update, more bool) {
	pairs, upto, evicted := map[Pair]Entry{}, map[Process]uint64{}, map[Process]bool{}
	for i := range batches {
		b := &batches[i]
		acked, ok := upto[b.Process]
		if !ok {
			acked = t.AckedUpTo(b.Process)
			evicted[b.Process] = acked == 0 && b.N > 1
		}
		if b.N <= acked {
			continue
		}
		if len(pairs) >= MaxUpdateEntries {
			return newUpdate(pairs, upto), true
		}
		upto[b.Process] = b.N
		for _, e := range b.Entries {
			if evicted[b.Process] {
				e.Counts = Counts{}
			}
			mergeBounded(pairs, e, MaxPairs)
		}
	}
	return newUpdate(pairs, upto), false
}

func newUpdate(pairs map[Pair]Entry, upto map[Process]uint64) Update {
	u := Update{Entries: sorted(pairs)}
	for p, n := range upto {
		u.Upto = append(u.Upto, Ack{Process: p, N: n})
	}
	slices.SortFunc(u.Upto, compareAcks)
	return u
}

func compareAcks(a, b Ack) int { return cmp.Compare(a.Process, b.Process) }

// Empty reports whether the update includes no batch.
func (u *Update) Empty() bool { return len(u.Upto) == 0 }

// Apply returns the totals after an update, without changing t. The result depends only on t and the update, so that
// all replicas of the record compute the same totals.
func (t *Totals) Apply(u *Update) *Totals {
	next := &Totals{
		pairs:     map[Pair]Entry{},
		processes: map[Process]progress{},
		updates:   1,
	}
	if t != nil {
		next.pairs = maps.Clone(t.pairs)
		next.processes = maps.Clone(t.processes)
		next.updates = t.updates + 1
	}
	for _, e := range u.Entries {
		mergeBounded(next.pairs, e, MaxPairs)
	}
	for _, ack := range u.Upto {
		next.processes[ack.Process] = progress{
			n:  max(ack.N, next.processes[ack.Process].n),
			at: next.updates,
		}
	}
	next.evictProcesses(MaxProcesses)
	return next
}

// evictProcesses removes all but the most processes that reported most recently; most is their maximum number.
func (t *Totals) evictProcesses(most int) {
	if len(t.processes) <= most {
		return
	}
	all := t.progresses()
	slices.SortFunc(all, func(a, b Progress) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Process, b.Process))
	})
	for _, p := range all[:len(all)-most] {
		delete(t.processes, p.Process)
	}
}

// progresses returns the progress of all processes, sorted by process.
func (t *Totals) progresses() []Progress {
	all := make([]Progress, 0, len(t.processes))
	for process, p := range t.processes {
		all = append(all, Progress{Process: process, N: p.n, At: p.at})
	}
	slices.SortFunc(all, func(a, b Progress) int { return cmp.Compare(a.Process, b.Process) })
	return all
}

// sorted returns the entries sorted by tenant, route and region.
func sorted(pairs map[Pair]Entry) []Entry {
	return slices.SortedFunc(maps.Values(pairs), func(a, b Entry) int { return a.Pair.compare(b.Pair) })
}

// Report returns the entries whose pair matches, sorted by tenant, route and region; all entries if match is nil.
func (t *Totals) Report(match func(Pair) bool) []Entry {
	if t == nil {
		return nil
	}
	all := sorted(t.pairs)
	return slices.DeleteFunc(all, func(e Entry) bool { return match != nil && !match(e.Pair) })
}

// Snapshot returns an encoding of the totals for Restore; nil for a nil Totals.
func (t *Totals) Snapshot() []byte {
	if t == nil {
		return nil
	}
	stored := StoredTotals{
		Entries:   sorted(t.pairs),
		Processes: t.progresses(),
		Readings:  t.updates,
	}
	b, _ := stored.MarshalMsg(nil) // encoding these types never returns an error
	return b
}

// Restore decodes the totals of a snapshot; an empty snapshot gives an empty (nil) Totals. It returns an error if the
// snapshot is corrupt.
func Restore(snapshot []byte) (*Totals, error) {
	if len(snapshot) == 0 {
		return nil, nil
	}
	var stored StoredTotals
	if _, err := stored.UnmarshalMsg(snapshot); err != nil {
		return nil, errors.Wrap(err, "decode residency totals")
	}
	t := &Totals{
		pairs:     make(map[Pair]Entry, len(stored.Entries)),
		processes: make(map[Process]progress, len(stored.Processes)),
		updates:   stored.Readings,
	}
	for _, e := range stored.Entries {
		t.pairs[e.Pair] = e
	}
	for _, p := range stored.Processes {
		t.processes[p.Process] = progress{n: p.N, at: p.At}
	}
	return t, nil
}
