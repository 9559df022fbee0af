package world

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// This file is the days on which clients give up: named cases, each with a seed. In each of them
// most requests meet what the case is about, under more load than the servers bear.

// Cases are the names of those days.
var Cases = []string{"cancel-at-first-byte", "cancel-between", "cancel-at-last-byte", "cancel-at-answer", "deadline-in-queue",
	"deadline-while-dialling", "deadline-on-link", "no-time-left", "crowd-leaves", "ignores-cancels", "cancel-over-two-hops"}

// NewSurgeDay draws a day of the case that the seed falls on.
func NewSurgeDay(seed uint64) *Day { return NewCaseDay(Cases[seed%uint64(len(Cases))], seed) }

// NewCaseDay draws a day of a case.
func NewCaseDay(name string, seed uint64) *Day {
	d := NewDay(seed)
	two := name == "deadline-on-link" || name == "cancel-over-two-hops"
	if two {
		d = NewSitesDay(seed)
		d.LinkUs = 16000
	}
	rng := rand.New(rand.NewPCG(seed, 0x5e4))
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	asks := slices.DeleteFunc(slices.Clone(d.Ops), func(o Op) bool { return o.Kind != "ask" })
	faults := slices.DeleteFunc(slices.Clone(d.Ops), func(o Op) bool { return o.Kind == "ask" || rng.IntN(2) == 0 })
	length := time.Second
	// Up to three times what the servers can do, with few strange clients.
	load := func() int {
		return min(int(between(1, 3)*float64(d.Servers*d.Slots)/(d.WorkMs/1000)*length.Seconds()), 400)
	}
	ops := faults
	add := func(o Op) {
		o.ID = len(ops) + 1
		ops = append(ops, o)
	}
	for i := range ops {
		ops[i].ID, ops[i].At = i+1, ops[i].At%length
	}
	agents := d.Agents
	if two {
		agents = d.Near
	}
	always := func(kind string, share float64) {
		for host := range d.Servers {
			add(Op{Kind: kind, Host: host, For: 2 * length, Share: share})
		}
	}
	fate, part, want := name, 0.5, 0
	switch name {
	case "cancel-at-first-byte", "cancel-between":
		always("deaf", between(0.3, 1))
	case "deadline-in-queue":
		fate, part = "", 0
		d.WorkMs, d.Slots = between(40, 120), 1
	case "deadline-while-dialling":
		fate, part = "", 0
		always("slow-dial", 1)
		always("close-after", 1)
	case "deadline-on-link":
		fate, part = "", 0
		for range 4 {
			add(Op{At: time.Duration(rng.Float64() * float64(length)), Kind: []string{"link-stall-there", "link-stall-back", "link-lag"}[rng.IntN(3)],
				Agent: rng.IntN(d.Agents), For: time.Duration(between(20, 300)) * ms})
		}
	case "no-time-left":
		fate, part = "", 0
	case "crowd-leaves":
		fate, part = "", 0
		if rng.IntN(2) == 0 {
			d.Settings["limits"].(map[string]any)["openCap"] = 40 + rng.IntN(100)
		}
		for _, at := range []time.Duration{200 * ms, 500 * ms, 800 * ms} {
			for range 150 {
				asks = append(asks, Op{Kind: "ask", At: at - time.Duration(rng.IntN(10_000))*time.Microsecond, Agent: rng.IntN(agents), Class: rng.IntN(3),
					Timeout: d.giveUp(), Body: rng.IntN(300)})
			}
			add(Op{At: at, Kind: "crowd-leaves"})
		}
		want = len(asks)
	case "ignores-cancels", "cancel-over-two-hops":
		fate = "leave"
		if two { // what crosses waits there
			d.WorkMs, d.Slots = between(40, 120), 1
			d.Settings["limits"].(map[string]any)["cancelling"] = rng.IntN(2) == 0
		}
		if name == "ignores-cancels" {
			always("ignores-cancels", 1)
		}
	}
	if want == 0 {
		want = load()
	}
	for i := range want {
		o := asks[i%len(asks)]
		if i >= len(asks) || o.At > length {
			o.At = time.Duration(rng.Float64() * float64(length))
		}
		if o.Fate = ""; rng.Float64() < part {
			o.Fate, o.For = fate, time.Duration(between(0.01, 0.9)*float64(o.Timeout))
			if fate != "leave" && rng.IntN(3) > 0 {
				o.Class = order
			}
		}
		if fate == "cancel-between" && rng.IntN(2) == 0 {
			o.Body = 64<<10 - rng.IntN(2)
		}
		switch {
		case name == "no-time-left":
			o.Timeout = []time.Duration{time.Microsecond, 999 * time.Microsecond, ms, 1001 * time.Microsecond, 2 * ms, time.Duration(between(2, 20) * float64(ms))}[rng.IntN(6)]
		case name == "deadline-on-link" && rng.IntN(2) == 0:
			o.Timeout = time.Duration(between(0.9, 4) * d.LinkUs * float64(time.Microsecond))
		case name == "deadline-in-queue" || name == "deadline-while-dialling":
			o.Timeout = time.Duration(float64(o.Timeout) * between(0.1, 1))
		}
		o.Timeout = max(o.Timeout.Truncate(time.Microsecond), time.Microsecond)
		add(o)
	}
	sort.SliceStable(ops, func(i, j int) bool { return ops[i].At < ops[j].At })
	d.Ops = ops
	return d
}

// crowdLeaves has all clients that wait go in one instant.
func (w *World) crowdLeaves() {
	n := 0
	for _, p := range w.agents {
		for _, c := range slices.Clone(p.conns) {
			if k, ok := c.peer.(*client); ok && len(k.asks) > 0 && k.asks[0].rec != nil {
				n++
				k.leave(k.asks[0], w.day.draw("how", uint64(c.id)) < 0.5)
			}
		}
	}
	if n >= 50 {
		w.check.count("crowds that left")
	}
}

// cancelled plays the clients that go in the instant in which a part of their request goes out.
func (k *checker) cancelled(l *link, first, whole bool) {
	r := l.attempt.rec
	if r == nil || r.left != 0 {
		return
	}
	fate := r.ask.op.Fate
	if !(fate == "cancel-at-first-byte" && first || fate == "cancel-between" && !whole || fate == "cancel-at-last-byte" && whole) {
		return
	}
	if c, ok := r.clientEnd(); ok {
		k.count(fate)
		k.w.push(k.w.now(), func() { c.leave(r.ask, true) })
	}
}
