package residencyreport

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawEntries draws entries of a few pairs, each pair once.
func drawEntries(t *rapid.T) []Entry {
	pairs := map[Pair]Entry{}
	for range rapid.IntRange(0, 4).Draw(t, "entries") {
		p := Pair{Region: rapid.SampledFrom([]string{"east", "west"}).Draw(t, "region")}
		if name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"); rapid.Bool().Draw(t, "tenant") {
			p.Tenant = name
		} else {
			p.Route = name
		}
		first := rapid.Int64Range(1, 1000).Draw(t, "first")
		n := rapid.Int64Range(0, 9)
		pairs[p] = Entry{
			Pair:  p,
			First: first,
			Last:  first + rapid.Int64Range(0, 1000).Draw(t, "span"),
			Counts: Counts{
				Plain:    n.Draw(t, "plain"),
				Prefills: n.Draw(t, "prefills"),
				Decodes:  n.Draw(t, "decodes"),
				Resumes:  n.Draw(t, "resumes"),
			},
		}
	}
	return sorted(pairs)
}

// drawBatches draws some batches of some processes.
func drawBatches(t *rapid.T) (all []Batch) {
	for p := range Process(rapid.IntRange(1, 4).Draw(t, "processes")) {
		for n := range uint64(rapid.IntRange(0, 5).Draw(t, "batches")) {
			all = append(all, Batch{Process: p + 1, N: n + 1, Entries: drawEntries(t)})
		}
	}
	return all
}

// total returns the expected entries of batches, computed independently.
func total(batches []Batch) []Entry {
	sum := map[Pair]Entry{}
	for _, b := range batches {
		for _, e := range b.Entries {
			have, ok := sum[e.Pair]
			if !ok {
				sum[e.Pair] = e
				continue
			}
			have.First, have.Last = min(have.First, e.First), max(have.Last, e.Last)
			have.Counts.Plain += e.Counts.Plain
			have.Counts.Prefills += e.Counts.Prefills
			have.Counts.Decodes += e.Counts.Decodes
			have.Counts.Resumes += e.Counts.Resumes
			sum[e.Pair] = have
		}
	}
	var all []Entry
	for _, e := range sum {
		all = append(all, e)
	}
	key := func(p Pair) []string { return []string{p.Tenant, p.Route, p.Region} }
	slices.SortFunc(all, func(a, b Entry) int { return slices.Compare(key(a.Pair), key(b.Pair)) })
	return all
}

// The report is correct and the same however batches are distributed over updates, in any order of processes, with any
// repetitions, and wherever the record is restored from a snapshot in between.
func TestTotalsAreOrderFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawBatches(t)
		next := map[Process]uint64{}
		var g *Totals
		for left := true; left; {
			// The next batches: of some processes, from before the applied ones to somewhere after, without gaps.
			var offer []Batch
			left = false
			for _, p := range rapid.Permutation([]Process{1, 2, 3, 4}).Draw(t, "order") {
				to := next[p] + uint64(rapid.IntRange(0, 3).Draw(t, "more"))
				for _, b := range all {
					switch {
					case b.Process != p:
					case b.N > to:
						left = true
					case b.N > next[p] || rapid.Bool().Draw(t, "again"):
						offer = append(offer, b)
						next[p] = max(next[p], b.N)
					}
				}
			}
			before, was := g, g.Report(nil)
			r, more := g.Merge(offer)
			if more {
				t.Fatal("there is more")
			}
			if !r.Empty() {
				g = g.Apply(&r)
			}
			if !reflect.DeepEqual(before.Report(nil), was) {
				t.Fatal("older totals were changed")
			}
			if rapid.Bool().Draw(t, "restart") {
				back, err := Restore(g.Snapshot())
				if err != nil || !bytes.Equal(back.Snapshot(), g.Snapshot()) {
					t.Fatalf("snapshot restored to different totals: %v", err)
				}
				g = back
			}
		}
		for _, b := range all {
			if g.AckedUpTo(b.Process) < b.N {
				t.Fatalf("batch %d of %d is not acknowledged", b.N, b.Process)
			}
		}
		if got, want := g.Report(nil), total(all); len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v\nwant %v", got, want)
		}
		// Repeating all batches changes nothing.
		if r, _ := g.Merge(all); !r.Empty() || len(r.Entries) > 0 {
			t.Fatalf("applied batches are merged again: %v", r)
		}
	})
}

// The times of a process that was evicted, or that a newly started record doesn't know, are merged; its counts, which
// may have been applied before, are not counted again.
func TestEvictedProcessIsNotCountedTwice(t *testing.T) {
	c := qt.New(t)
	pair := Pair{Tenant: "a", Region: "east"}
	entry := func(first, last int64) []Entry {
		return []Entry{{Pair: pair, First: first, Last: last, Counts: Counts{Plain: 2}}}
	}
	var g *Totals
	take := func(batches ...Batch) {
		r, _ := g.Merge(batches)
		g = g.Apply(&r)
	}
	take(Batch{1, 1, entry(5, 6)}, Batch{1, 2, entry(5, 7)})
	c.Assert(g.Report(nil)[0].Counts.Plain, qt.Equals, int64(4))
	take(Batch{2, 1, entry(9, 10)})
	g.evictProcesses(1) // the one that reported most recently stays
	c.Assert(g.AckedUpTo(1), qt.Equals, uint64(0))
	c.Assert(g.AckedUpTo(2), qt.Equals, uint64(1))
	take(Batch{1, 2, entry(5, 7)}, Batch{1, 3, entry(4, 20)})
	c.Assert(g.Report(nil), qt.DeepEquals, []Entry{{Pair: pair, First: 4, Last: 20, Counts: Counts{Plain: 6}}})
	take(Batch{1, 4, entry(4, 21)})
	c.Assert(g.Report(nil)[0].Counts.Plain, qt.Equals, int64(8))
}

// Pairs beyond the limit are counted under the zero Pair; the processes that reported least recently are evicted first;
// an update is limited in size, and Merge reports that there are more batches.
func TestTotalsAreBounded(t *testing.T) {
	c := qt.New(t)
	var g *Totals
	n := 0 // number of entries created, each for a tenant of its own
	batch := func(p Process, entries int) Batch {
		b := Batch{Process: p, N: 1}
		for range entries {
			n++
			b.Entries = append(b.Entries, Entry{
				Pair:   Pair{Tenant: fmt.Sprint(n), Region: "r"},
				First:  int64(n),
				Last:   int64(n),
				Counts: Counts{Plain: 1},
			})
		}
		return b
	}
	for p := Process(1); n < MaxPairs+100; p++ {
		offer := []Batch{batch(p<<20, MaxUpdateEntries)}
		r, more := g.Merge(offer)
		c.Assert(more, qt.IsFalse)
		g = g.Apply(&r)
	}
	all := g.Report(nil)
	c.Assert(all, qt.HasLen, MaxPairs+1) // those with a name, and the others
	sum := int64(0)
	for _, e := range all {
		sum += e.Counts.Plain
	}
	c.Assert(sum, qt.Equals, int64(n))
	c.Assert(g.Report(func(p Pair) bool { return p.Tenant == "" })[0].Counts.Plain, qt.Equals, int64(n-MaxPairs))

	g, n = nil, 0
	var offer []Batch
	for p := range Process(40) {
		offer = append(offer, batch(p+1, MaxBatchEntries))
	}
	r, more := g.Merge(offer)
	c.Assert(more, qt.IsTrue)
	c.Assert(len(r.Entries) < MaxUpdateEntries+MaxBatchEntries, qt.IsTrue)
	rounds := 0
	for ; !r.Empty(); r, _ = g.Merge(offer) {
		g = g.Apply(&r)
		rounds++
	}
	c.Assert(rounds, qt.Equals, 3)
	c.Assert(g.Report(nil), qt.DeepEquals, total(offer))

	g = nil
	for p := range Process(4) {
		var upto []Ack
		for i := range Process(MaxProcesses / 2) {
			upto = append(upto, Ack{1 + p*MaxProcesses + i, 1})
		}
		g = g.Apply(&Update{Upto: upto})
	}
	c.Assert(g.processes, qt.HasLen, MaxProcesses)
	c.Assert(g.AckedUpTo(1), qt.Equals, uint64(0))
	c.Assert(g.AckedUpTo(1+2*MaxProcesses), qt.Equals, uint64(1))
}

// Restore returns an error for a corrupt snapshot.
func TestRestoreRefusesDamage(t *testing.T) {
	c := qt.New(t)
	g := (*Totals)(nil).Apply(&Update{
		Entries: []Entry{{Pair: Pair{Tenant: "a", Region: "r"}, First: 1, Last: 2}},
		Upto:    []Ack{{1, 1}},
	})
	b := g.Snapshot()
	for n := 1; n < len(b); n++ {
		_, err := Restore(b[:n])
		c.Check(err, qt.IsNotNil)
	}
	empty, err := Restore(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(empty.Report(nil), qt.HasLen, 0)
	c.Assert(empty.Snapshot(), qt.HasLen, 0)
}
