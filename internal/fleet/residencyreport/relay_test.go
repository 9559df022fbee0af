package residencyreport

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// link is a connection from a relay to another, as distribution drives it.
type link struct {
	sender   Sender
	receiver Receiver
}

// day is a fleet whose processes crash and whose connections break: two proxies with their node agents, three control
// servers.
type day struct {
	*rapid.T
	now     time.Time
	made    map[Process][]Batch
	proxy   [2]Process
	boxes   [2]*Relay // of the proxies
	agents  [2]*Relay // node agents
	core    [3]*Relay // control servers
	primary int
	follows [2]int // which control server each node agent asks
	down    [2]link
	up      [2]link
	across  [3]link // control servers to the primary
	totals  *Totals // on the disks of all that it has to be on
	last    Process
}

func (d *day) chance(percent int) bool { return rapid.IntRange(0, 99).Draw(d.T, "chance") < percent }

// carry has one message go from a relay to another, and its answer back, as far as the connection lasts.
func (d *day) carry(from, to *Relay, l *link, faults bool) {
	batches := l.sender.Next(from, d.now)
	if faults && d.chance(15) {
		*l = link{}
		return
	}
	l.receiver.Receive(to, batches)
	acks := l.receiver.Acks(to)
	if faults && d.chance(15) {
		*l = link{}
		return
	}
	from.Acknowledge(acks...)
}

func (d *day) startProxy(i int) {
	d.last++
	d.proxy[i], d.boxes[i], d.down[i] = d.last, &Relay{}, link{}
}

func (d *day) startAgent(i int) { d.agents[i], d.down[i], d.up[i] = &Relay{}, link{}, link{} }

func (d *day) startCore(i int) {
	d.core[i] = &Relay{}
	d.breakCore(i)
}

func (d *day) breakCore(i int) {
	d.across[i] = link{}
	for j, at := range d.follows {
		if at == i {
			d.up[j] = link{}
		}
	}
	if i == d.primary {
		d.across = [3]link{}
	}
}

// applyUpdate is what the primary does. The outcome may stay unknown to it, or nothing may come of it.
func (d *day) applyUpdate(faults bool) {
	box := d.core[d.primary]
	open := box.Pending()
	r, _ := d.totals.Merge(open)
	if faults && d.chance(20) {
		return
	}
	if !r.Empty() {
		d.totals = d.totals.Apply(&r)
	}
	if faults && d.chance(20) {
		return
	}
	for _, b := range open {
		if k := d.totals.AckedUpTo(b.Process); b.N <= k {
			box.Acknowledge(Ack{b.Process, b.N})
		}
	}
}

// check asks that no relay takes for acknowledged what isn't, and that the record counts each batch that it applied
// once.
func (d *day) check() {
	relays := append(append(d.boxes[:], d.agents[:]...), d.core[:]...)
	for _, r := range relays {
		for p, n := range r.acked {
			if n > d.totals.AckedUpTo(p) {
				d.Fatalf("batch %d of %d counts as acknowledged, the record has %d", n, p, d.totals.AckedUpTo(p))
			}
		}
		entries := 0
		for p, held := range r.pending {
			for i, b := range held {
				if b.N != held[0].N+uint64(i) {
					d.Fatalf("batches of %d are held with a gap: %v", p, held)
				}
				entries += len(b.Entries)
			}
		}
		if entries != r.entries {
			d.Fatalf("%d entries are held, %d counted", entries, r.entries)
		}
	}
	var taken []Batch
	for p, made := range d.made {
		taken = append(taken, made[:d.totals.AckedUpTo(p)]...)
	}
	if got, want := d.totals.Report(nil), total(taken); len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
		d.Fatalf("%v\nin place of\n%v", got, want)
	}
}

func (d *day) step(faults bool) {
	d.now = d.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(d.T, "seconds")) * time.Second)
	i := rapid.IntRange(0, 1).Draw(d.T, "edge")
	j := rapid.IntRange(0, 2).Draw(d.T, "core")
	switch rapid.IntRange(0, 11).Draw(d.T, "what") {
	case 0, 1, 2:
		if p := d.proxy[i]; faults && d.boxes[i].PendingOf(p) < MaxPendingBatches {
			b := Batch{Process: p, N: uint64(len(d.made[p])) + 1, Entries: drawEntries(d.T)}
			if !d.boxes[i].Put(b) {
				d.Fatal("a proxy's own batch doesn't fit")
			}
			d.made[p] = append(d.made[p], b)
		}
	case 3, 4:
		d.carry(d.boxes[i], d.agents[i], &d.down[i], faults)
	case 5, 6:
		d.carry(d.agents[i], d.core[d.follows[i]], &d.up[i], faults)
	case 7:
		if j != d.primary {
			d.carry(d.core[j], d.core[d.primary], &d.across[j], faults)
		}
	case 8:
		d.applyUpdate(faults)
	case 9:
		if faults {
			d.follows[i], d.up[i] = j, link{}
		}
	case 10:
		if faults {
			switch rapid.IntRange(0, 3).Draw(d.T, "dies") {
			case 0:
				d.startProxy(i)
			case 1:
				d.startAgent(i)
			case 2:
				d.startCore(j)
			case 3:
				d.primary, d.across = j, [3]link{}
			}
		}
	case 11:
		back, err := Restore(d.totals.Snapshot())
		if err != nil {
			d.Fatal(err)
		}
		d.totals = back
	}
}

// Over days of crashes and broken connections, what the record counts is at all times exactly the batches that it
// applied, and no relay drops one that it doesn't have; in the end it has all of every process that runs.
func TestRelayDeliversEachBatchOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &day{T: t, now: time.Unix(1_000_000, 0), made: map[Process][]Batch{}}
		for i := range 2 {
			d.startProxy(i)
			d.startAgent(i)
		}
		for i := range 3 {
			d.startCore(i)
		}
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			d.step(true)
			d.check()
		}
		for range 8 { // an end without faults
			for i := range 2 {
				d.carry(d.boxes[i], d.agents[i], &d.down[i], false)
				d.carry(d.agents[i], d.core[d.follows[i]], &d.up[i], false)
			}
			for j := range 3 {
				if j != d.primary {
					d.carry(d.core[j], d.core[d.primary], &d.across[j], false)
				}
			}
			d.applyUpdate(false)
			d.check()
			d.now = d.now.Add(resendAfter)
		}
		for i, p := range d.proxy {
			if d.totals.AckedUpTo(p) != uint64(len(d.made[p])) || !d.boxes[i].Empty() || !d.agents[i].Empty() {
				t.Fatalf("%d of %d batches are acknowledged", d.totals.AckedUpTo(p), len(d.made[p]))
			}
		}
	})
}

// Where a relay is full, what it refuses comes again before anything later; nothing is taken out of order.
func TestRelayRefusesBeyondItsBounds(t *testing.T) {
	c := qt.New(t)
	var from, to Relay
	var l link
	now := time.Unix(1_000_000, 0)
	full := Batch{Process: 9, N: 1, Entries: make([]Entry, maxRelayEntries)}
	c.Assert(to.Put(full), qt.IsTrue)
	carry := func() {
		l.receiver.Receive(&to, l.sender.Next(&from, now))
		from.Acknowledge(l.receiver.Acks(&to)...)
	}
	batch := func(n uint64, entries int) Batch { return Batch{Process: 1, N: n, Entries: make([]Entry, entries)} }
	c.Assert(from.Put(batch(1, 1)), qt.IsTrue)
	c.Assert(from.Put(batch(2, 0)), qt.IsTrue) // this one would fit
	carry()
	c.Assert(to.PendingOf(1), qt.Equals, 0)
	to.Acknowledge(Ack{9, 1})
	c.Assert(from.Put(batch(3, 1)), qt.IsTrue)
	carry()
	c.Assert(to.PendingOf(1), qt.Equals, 0, qt.Commentf("a batch is missing before"))
	now = now.Add(resendAfter)
	carry()
	c.Assert(to.PendingOf(1), qt.Equals, 3)
	to.Acknowledge(Ack{1, 3})
	carry()
	c.Assert(from.Empty(), qt.IsTrue)

	c.Assert(to.Put(batch(5, 1)), qt.IsTrue, qt.Commentf("whoever begins there knows that the fourth is acknowledged"))
	c.Assert(to.Put(batch(7, 1)), qt.IsFalse)
	for n := uint64(6); n < 5+MaxPendingBatches; n++ {
		c.Assert(to.Put(batch(n, 1)), qt.IsTrue)
	}
	c.Assert(to.Put(batch(5+MaxPendingBatches, 1)), qt.IsFalse)
	l.receiver.Receive(&to, []Batch{{Process: 0, N: 1}, {Process: 2, N: 0}})
	c.Assert(to.PendingOf(0)+to.PendingOf(2), qt.Equals, 0, qt.Commentf("no batch has such a number"))
}
