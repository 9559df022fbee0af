package residencyreport

import (
	"cmp"
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// Bounds of what is kept. Where they come from is told in docs/design/regions.md.
const (
	// MaxPairs bounds the pairs of tenant and region in the record; what comes beyond is counted under the zero Pair.
	MaxPairs = 1 << 16
	// MaxProcesses bounds the processes whose progress the record knows; who told nothing for longest is forgotten first.
	MaxProcesses = 1 << 14
	// MaxUpdateEntries bounds the entries of one reading; a batch is never split, so that it may be over by one batch.
	MaxUpdateEntries = 4096
)

// Totals is what the record holds: each pair's totals, and how far each process's batches are in them. It is never changed
// in place, so that whoever has one may read it at any time. nil is an empty one.
type Totals struct {
	pairs     map[Pair]Entry
	processes map[Process]progress
	updates   uint64
}

// progress is how far the batches of a process are taken, and by which reading.
type progress struct{ n, at uint64 }

// merge adds to an entry what another has for the same pair.
func (e *Entry) merge(o *Entry) {
	e.First, e.Last = min(e.First, o.First), max(e.Last, o.Last)
	e.Counts.add(o.Counts)
}

func (c *Counts) add(o Counts) {
	c.Plain += o.Plain
	c.Prefills += o.Prefills
	c.Decodes += o.Decodes
	c.Resumes += o.Resumes
}

func (p Pair) compare(o Pair) int {
	return cmp.Or(cmp.Compare(p.Tenant, o.Tenant), cmp.Compare(p.Route, o.Route), cmp.Compare(p.Region, o.Region))
}

// mergeBounded adds an entry to totals that hold so many pairs at most.
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

// Ack tells up to which number the batches of a process are taken; 0: none is, or the process was forgotten.
func (t *Totals) AckedUpTo(p Process) uint64 {
	if t == nil {
		return 0
	}
	return t.processes[p].n
}

// Has tells whether there is anything of a pair.
func (t *Totals) Has(p Pair) bool {
	if t == nil {
		return false
	}
	_, ok := t.pairs[p]
	return ok
}

// Merge puts batches into one reading that follows on this gauge; the batches of a process come in the order of their
// numbers. What is taken already adds nothing. more: there was no room for all. A process that isn't known and doesn't begin
// with its first batch was forgotten: nobody can tell what of it was counted, so its times are taken and its counts are not.
func (t *Totals) Merge(batches []Batch) (r Update, more bool) {
	pairs, upto, lost := map[Pair]Entry{}, map[Process]uint64{}, map[Process]bool{}
	for i := range batches {
		b := &batches[i]
		taken, ok := upto[b.Process]
		if !ok {
			taken = t.AckedUpTo(b.Process)
			lost[b.Process] = taken == 0 && b.N > 1
		}
		if b.N <= taken {
			continue
		}
		if len(pairs) >= MaxUpdateEntries {
			return t.update(pairs, upto), true
		}
		upto[b.Process] = b.N
		for _, e := range b.Entries {
			if lost[b.Process] {
				e.Counts = Counts{}
			}
			mergeBounded(pairs, e, MaxPairs)
		}
	}
	return t.update(pairs, upto), false
}

func (t *Totals) update(pairs map[Pair]Entry, upto map[Process]uint64) Update {
	r := Update{Entries: sorted(pairs)}
	for p, n := range upto {
		r.Upto = append(r.Upto, Ack{p, n})
	}
	slices.SortFunc(r.Upto, func(a, b Ack) int { return cmp.Compare(a.Process, b.Process) })
	return r
}

// Empty tells whether a reading has nothing to say.
func (r *Update) Empty() bool { return len(r.Upto) == 0 }

// Receive gives the gauge after a reading. All holders of the record come to the same.
func (t *Totals) Apply(r *Update) *Totals {
	next := &Totals{pairs: map[Pair]Entry{}, processes: map[Process]progress{}, updates: 1}
	if t != nil {
		next.pairs, next.processes, next.updates = maps.Clone(t.pairs), maps.Clone(t.processes), t.updates+1
	}
	for _, e := range r.Entries {
		mergeBounded(next.pairs, e, MaxPairs)
	}
	for _, k := range r.Upto {
		next.processes[k.Process] = progress{max(k.N, next.processes[k.Process].n), next.updates}
	}
	next.evictProcesses(MaxProcesses)
	return next
}

// evictProcesses leaves so many processes at most, those that told something last.
func (t *Totals) evictProcesses(most int) {
	if len(t.processes) <= most {
		return
	}
	all := t.progresses()
	slices.SortFunc(all, func(a, b Progress) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Process, b.Process)) })
	for _, p := range all[:len(all)-most] {
		delete(t.processes, p.Process)
	}
}

func (t *Totals) progresses() []Progress {
	all := make([]Progress, 0, len(t.processes))
	for p, at := range t.processes {
		all = append(all, Progress{p, at.n, at.at})
	}
	slices.SortFunc(all, func(a, b Progress) int { return cmp.Compare(a.Process, b.Process) })
	return all
}

func sorted(pairs map[Pair]Entry) []Entry {
	return slices.SortedFunc(maps.Values(pairs), func(a, b Entry) int { return a.Pair.compare(b.Pair) })
}

// Report gives the entries that match, in the order of tenants, routes and regions; all of them where match is nil.
func (t *Totals) Report(match func(Pair) bool) []Entry {
	if t == nil {
		return nil
	}
	all := sorted(t.pairs)
	return slices.DeleteFunc(all, func(e Entry) bool { return match != nil && !match(e.Pair) })
}

// Snapshot gives the bytes from which Restore makes the same gauge; nil for an empty one.
func (t *Totals) Snapshot() []byte {
	if t == nil {
		return nil
	}
	b, _ := (&StoredTotals{Entries: sorted(t.pairs), Processes: t.progresses(), Readings: t.updates}).MarshalMsg(nil) // it has no way to fail
	return b
}

// Restore reads a snapshot; no bytes: an empty gauge.
func Restore(snapshot []byte) (*Totals, error) {
	if len(snapshot) == 0 {
		return nil, nil
	}
	var s StoredTotals
	if _, err := s.UnmarshalMsg(snapshot); err != nil {
		return nil, errors.Wrap(err, "gauge")
	}
	g := &Totals{pairs: make(map[Pair]Entry, len(s.Entries)), processes: make(map[Process]progress, len(s.Processes)), updates: s.Readings}
	for _, e := range s.Entries {
		g.pairs[e.Pair] = e
	}
	for _, p := range s.Processes {
		g.processes[p.Process] = progress{p.N, p.At}
	}
	return g, nil
}
