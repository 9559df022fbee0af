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
	// MaxReading bounds the entries of one reading; a batch is never split, so that it may be over by one batch.
	MaxReading = 4096
)

// Gauge is what the record holds: each pair's totals, and how far each process's batches are in them. It is never changed
// in place, so that whoever has one may read it at any time. nil is an empty one.
type Gauge struct {
	pairs     map[Pair]Entry
	processes map[Process]progress
	readings  uint64
}

// progress is how far the batches of a process are taken, and by which reading.
type progress struct{ n, at uint64 }

// join adds to an entry what another has for the same pair.
func (e *Entry) join(o *Entry) {
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

// put adds an entry to totals that hold so many pairs at most.
func put(pairs map[Pair]Entry, e Entry, most int) {
	have, ok := pairs[e.Pair]
	if !ok && len(pairs) >= most {
		e.Pair = Pair{}
		have, ok = pairs[e.Pair]
	}
	if ok {
		have.join(&e)
		e = have
	}
	pairs[e.Pair] = e
}

// Kept tells up to which number the batches of a process are taken; 0: none is, or the process was forgotten.
func (g *Gauge) Kept(p Process) uint64 {
	if g == nil {
		return 0
	}
	return g.processes[p].n
}

// Has tells whether there is anything of a pair.
func (g *Gauge) Has(p Pair) bool {
	if g == nil {
		return false
	}
	_, ok := g.pairs[p]
	return ok
}

// Compose puts batches into one reading that follows on this gauge; the batches of a process come in the order of their
// numbers. What is taken already adds nothing. more: there was no room for all. A process that isn't known and doesn't begin
// with its first batch was forgotten: nobody can tell what of it was counted, so its times are taken and its counts are not.
func (g *Gauge) Compose(batches []Batch) (r Reading, more bool) {
	pairs, upto, lost := map[Pair]Entry{}, map[Process]uint64{}, map[Process]bool{}
	for i := range batches {
		b := &batches[i]
		taken, ok := upto[b.Process]
		if !ok {
			taken = g.Kept(b.Process)
			lost[b.Process] = taken == 0 && b.N > 1
		}
		if b.N <= taken {
			continue
		}
		if len(pairs) >= MaxReading {
			return g.reading(pairs, upto), true
		}
		upto[b.Process] = b.N
		for _, e := range b.Entries {
			if lost[b.Process] {
				e.Counts = Counts{}
			}
			put(pairs, e, MaxPairs)
		}
	}
	return g.reading(pairs, upto), false
}

func (g *Gauge) reading(pairs map[Pair]Entry, upto map[Process]uint64) Reading {
	r := Reading{Entries: sorted(pairs)}
	for p, n := range upto {
		r.Upto = append(r.Upto, Kept{p, n})
	}
	slices.SortFunc(r.Upto, func(a, b Kept) int { return cmp.Compare(a.Process, b.Process) })
	return r
}

// Empty tells whether a reading has nothing to say.
func (r *Reading) Empty() bool { return len(r.Upto) == 0 }

// Take gives the gauge after a reading. All holders of the record come to the same.
func (g *Gauge) Take(r *Reading) *Gauge {
	next := &Gauge{pairs: map[Pair]Entry{}, processes: map[Process]progress{}, readings: 1}
	if g != nil {
		next.pairs, next.processes, next.readings = maps.Clone(g.pairs), maps.Clone(g.processes), g.readings+1
	}
	for _, e := range r.Entries {
		put(next.pairs, e, MaxPairs)
	}
	for _, k := range r.Upto {
		next.processes[k.Process] = progress{max(k.N, next.processes[k.Process].n), next.readings}
	}
	next.forget(MaxProcesses)
	return next
}

// forget leaves so many processes at most, those that told something last.
func (g *Gauge) forget(most int) {
	if len(g.processes) <= most {
		return
	}
	all := g.progresses()
	slices.SortFunc(all, func(a, b Progress) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Process, b.Process)) })
	for _, p := range all[:len(all)-most] {
		delete(g.processes, p.Process)
	}
}

func (g *Gauge) progresses() []Progress {
	all := make([]Progress, 0, len(g.processes))
	for p, at := range g.processes {
		all = append(all, Progress{p, at.n, at.at})
	}
	slices.SortFunc(all, func(a, b Progress) int { return cmp.Compare(a.Process, b.Process) })
	return all
}

func sorted(pairs map[Pair]Entry) []Entry {
	return slices.SortedFunc(maps.Values(pairs), func(a, b Entry) int { return a.Pair.compare(b.Pair) })
}

// Report gives the entries that match, in the order of tenants, routes and regions; all of them where match is nil.
func (g *Gauge) Report(match func(Pair) bool) []Entry {
	if g == nil {
		return nil
	}
	all := sorted(g.pairs)
	return slices.DeleteFunc(all, func(e Entry) bool { return match != nil && !match(e.Pair) })
}

// Snapshot gives the bytes from which Restore makes the same gauge; nil for an empty one.
func (g *Gauge) Snapshot() []byte {
	if g == nil {
		return nil
	}
	b, _ := (&Stored{Entries: sorted(g.pairs), Processes: g.progresses(), Readings: g.readings}).MarshalMsg(nil) // it has no way to fail
	return b
}

// Restore reads a snapshot; no bytes: an empty gauge.
func Restore(snapshot []byte) (*Gauge, error) {
	if len(snapshot) == 0 {
		return nil, nil
	}
	var s Stored
	if _, err := s.UnmarshalMsg(snapshot); err != nil {
		return nil, errors.Wrap(err, "gauge")
	}
	g := &Gauge{pairs: make(map[Pair]Entry, len(s.Entries)), processes: make(map[Process]progress, len(s.Processes)), readings: s.Readings}
	for _, e := range s.Entries {
		g.pairs[e.Pair] = e
	}
	for _, p := range s.Processes {
		g.processes[p.Process] = progress{p.N, p.At}
	}
	return g, nil
}
