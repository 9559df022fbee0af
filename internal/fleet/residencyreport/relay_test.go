package residencyreport

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// link is a connection between two relays, used as package distribution does.
type link struct {
	sender   Sender
	receiver Receiver
}

// modelFleet is a fleet whose processes crash and whose connections break: two proxies with their node agents, and
// three control servers.
type modelFleet struct {
	*rapid.T
	now         time.Time
	made        map[Process][]Batch
	proxy       [2]Process
	proxyRelays [2]*Relay // of the proxies
	agents      [2]*Relay // node agents
	servers     [3]*Relay // control servers
	primary     int
	follows     [2]int // control server that each node agent is connected to
	down        [2]link
	up          [2]link
	across      [3]link // control servers to the primary
	totals      *Totals // the committed record
	last        Process
}

func (d *modelFleet) chance(percent int) bool {
	return rapid.IntRange(0, 99).Draw(d.T, "chance") < percent
}

// exchange sends one message from a relay to another and its answer back, unless the connection breaks before.
func (d *modelFleet) exchange(from, to *Relay, l *link, faults bool) {
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

func (d *modelFleet) startProxy(i int) {
	d.last++
	d.proxy[i], d.proxyRelays[i], d.down[i] = d.last, &Relay{}, link{}
}

func (d *modelFleet) startAgent(i int) { d.agents[i], d.down[i], d.up[i] = &Relay{}, link{}, link{} }

func (d *modelFleet) startServer(i int) {
	d.servers[i] = &Relay{}
	d.disconnectServer(i)
}

func (d *modelFleet) disconnectServer(i int) {
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

// applyUpdate commits an update as the primary does. With faults, the commit may fail or its outcome stay unknown.
func (d *modelFleet) applyUpdate(faults bool) {
	box := d.servers[d.primary]
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

// check checks that no relay treats an uncommitted batch as acknowledged, that pending batches have no gaps, and that
// the record counts each applied batch exactly once.
func (d *modelFleet) check() {
	relays := append(append(d.proxyRelays[:], d.agents[:]...), d.servers[:]...)
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
					d.Fatalf("pending batches of %d have a gap: %v", p, held)
				}
				entries += len(b.Entries)
			}
		}
		if entries != r.entries {
			d.Fatalf("%d entries are pending, the relay counts %d", entries, r.entries)
		}
	}
	var taken []Batch
	for p, made := range d.made {
		taken = append(taken, made[:d.totals.AckedUpTo(p)]...)
	}
	if got, want := d.totals.Report(nil), total(taken); len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
		d.Fatalf("got %v\nwant %v", got, want)
	}
}

func (d *modelFleet) step(faults bool) {
	d.now = d.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(d.T, "seconds")) * time.Second)
	i := rapid.IntRange(0, 1).Draw(d.T, "edge")
	j := rapid.IntRange(0, 2).Draw(d.T, "core")
	switch rapid.IntRange(0, 11).Draw(d.T, "what") {
	case 0, 1, 2:
		if p := d.proxy[i]; faults && d.proxyRelays[i].PendingOf(p) < MaxPendingBatches {
			b := Batch{Process: p, N: uint64(len(d.made[p])) + 1, Entries: drawEntries(d.T)}
			if !d.proxyRelays[i].Put(b) {
				d.Fatal("a proxy's own batch doesn't fit")
			}
			d.made[p] = append(d.made[p], b)
		}
	case 3, 4:
		d.exchange(d.proxyRelays[i], d.agents[i], &d.down[i], faults)
	case 5, 6:
		d.exchange(d.agents[i], d.servers[d.follows[i]], &d.up[i], faults)
	case 7:
		if j != d.primary {
			d.exchange(d.servers[j], d.servers[d.primary], &d.across[j], faults)
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
				d.startServer(j)
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

// With crashes and broken connections, the record counts exactly the batches that it applied at all times, and no relay
// drops a batch that isn't in the record; in the end the record has all batches of every running process.
func TestRelayDeliversEachBatchOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &modelFleet{T: t, now: time.Unix(1_000_000, 0), made: map[Process][]Batch{}}
		for i := range 2 {
			d.startProxy(i)
			d.startAgent(i)
		}
		for i := range 3 {
			d.startServer(i)
		}
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			d.step(true)
			d.check()
		}
		for range 8 { // an end without faults
			for i := range 2 {
				d.exchange(d.proxyRelays[i], d.agents[i], &d.down[i], false)
				d.exchange(d.agents[i], d.servers[d.follows[i]], &d.up[i], false)
			}
			for j := range 3 {
				if j != d.primary {
					d.exchange(d.servers[j], d.servers[d.primary], &d.across[j], false)
				}
			}
			d.applyUpdate(false)
			d.check()
			d.now = d.now.Add(resendAfter)
		}
		for i, p := range d.proxy {
			if d.totals.AckedUpTo(p) != uint64(len(d.made[p])) || !d.proxyRelays[i].Empty() || !d.agents[i].Empty() {
				t.Fatalf("%d of %d batches are acknowledged", d.totals.AckedUpTo(p), len(d.made[p]))
			}
		}
	})
}

// A batch that a full relay rejects is sent again before later ones; no batch is accepted out of order.
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
	c.Assert(to.PendingOf(1), qt.Equals, 0, qt.Commentf("the previous batch is missing"))
	now = now.Add(resendAfter)
	carry()
	c.Assert(to.PendingOf(1), qt.Equals, 3)
	to.Acknowledge(Ack{1, 3})
	carry()
	c.Assert(from.Empty(), qt.IsTrue)

	c.Assert(to.Put(batch(5, 1)), qt.IsTrue, qt.Commentf("a sender that starts with 5 has the ack of 4"))
	c.Assert(to.Put(batch(7, 1)), qt.IsFalse)
	for n := uint64(6); n < 5+MaxPendingBatches; n++ {
		c.Assert(to.Put(batch(n, 1)), qt.IsTrue)
	}
	c.Assert(to.Put(batch(5+MaxPendingBatches, 1)), qt.IsFalse)
	l.receiver.Receive(&to, []Batch{{Process: 0, N: 1}, {Process: 2, N: 0}})
	c.Assert(to.PendingOf(0)+to.PendingOf(2), qt.Equals, 0, qt.Commentf("invalid process or batch number"))
}
