package residencyreport

import (
	"cmp"
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// Bounds of the totals; docs/design/regions.md says where they come from.
const (
	// MaxPairs bounds the pairs of tenant and region in the record; further ones are counted under the zero Pair.
	MaxPairs = 1 << 16
	// MaxProcesses bounds the processes whose progress the record holds; the one that reported least recently is
	// evicted first.
	MaxProcesses = 1 << 14
	// MaxUpdateEntries bounds the entries of one update; a batch is never split, so that it may be over by one batch.
	MaxUpdateEntries = 4096
)

// Totals is what the record holds: the totals of each pair, and how far the batches of each process are in them. It
// is immutable, so that it may be read from any goroutine. nil is empty.
type Totals struct {
	pairs     map[Pair]Entry
	processes map[Process]progress
	updates   uint64 // how many were applied
}

// progress is the number of a process's last applied batch, and of the update that had it.
type progress struct{ n, at uint64 }

// merge adds to an entry what another has for the same pair.
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

// mergeBounded merges an entry into totals of so many pairs at the most. Beyond that it counts under the zero Pair,
// so that no count is lost.
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

// AckedUpTo returns the number of the last batch of a process that is in the totals; 0 where none is, or the process
// was evicted.
func (t *Totals) AckedUpTo(p Process) uint64 {
	if t == nil {
		return 0
	}
	return t.processes[p].n
}

// Has tells whether the totals have anything of a pair.
func (t *Totals) Has(p Pair) bool {
	if t == nil {
		return false
	}
	_, ok := t.pairs[p]
	return ok
}

// Merge returns one update with what the batches add to these totals; the batches of a process come in the order of
// their numbers, and what is in the totals already adds nothing. more tells that not all fitted. A process that isn't
// known and doesn't begin with its first batch was evicted: nobody can tell what of it was counted, so that its times
// are merged and its counts are not.
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

// Empty tells whether the update changes nothing.
func (u *Update) Empty() bool { return len(u.Upto) == 0 }

// Apply returns the totals after an update, and leaves these as they are. It depends on nothing else, so that all
// replicas of the record come to the same.
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

// evictProcesses leaves so many processes at the most, those that reported most recently.
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

// progresses returns the progress of all processes, by process.
func (t *Totals) progresses() []Progress {
	all := make([]Progress, 0, len(t.processes))
	for process, p := range t.processes {
		all = append(all, Progress{Process: process, N: p.n, At: p.at})
	}
	slices.SortFunc(all, func(a, b Progress) int { return cmp.Compare(a.Process, b.Process) })
	return all
}

// sorted returns the entries in the order of tenants, routes and regions.
func sorted(pairs map[Pair]Entry) []Entry {
	return slices.SortedFunc(maps.Values(pairs), func(a, b Entry) int { return a.Pair.compare(b.Pair) })
}

// Report returns the entries whose pair matches, in the order of tenants, routes and regions; all of them where match
// is nil.
func (t *Totals) Report(match func(Pair) bool) []Entry {
	if t == nil {
		return nil
	}
	all := sorted(t.pairs)
	return slices.DeleteFunc(all, func(e Entry) bool { return match != nil && !match(e.Pair) })
}

// Snapshot returns the bytes from which Restore makes equal totals; nil for empty ones.
func (t *Totals) Snapshot() []byte {
	if t == nil {
		return nil
	}
	stored := StoredTotals{
		Entries:   sorted(t.pairs),
		Processes: t.progresses(),
		Readings:  t.updates,
	}
	b, _ := stored.MarshalMsg(nil) // it has no way to fail
	return b
}

// Restore returns the totals of a snapshot; empty ones where it has no bytes. The error says that the bytes are
// damaged.
func Restore(snapshot []byte) (*Totals, error) {
	if len(snapshot) == 0 {
		return nil, nil
	}
	var stored StoredTotals
	if _, err := stored.UnmarshalMsg(snapshot); err != nil {
		return nil, errors.Wrap(err, "residency totals")
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
