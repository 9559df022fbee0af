package world

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"molepaddle/internal/process/operator"
)

// This file is what days of two sites have beyond others: near gateways, which clients ask,
// far gateways, which have the servers, and links between them that lag, stall one way or both,
// and are cut.

// NewSitesDay draws a day of two sites.
func NewSitesDay(seed uint64) *Day {
	d := NewDay(seed)
	rng := rand.New(rand.NewPCG(seed, 0x517e5))
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	d.Near = min(d.Agents, 3)
	d.Agents = d.Near + 1 + rng.IntN(2)
	promised := d.draw("promised") < 0.5
	if promised {
		d.Agents = d.Near + 3 + int(2*d.draw("fellows"))
	}
	d.LinkUs = between(1000, 16000)
	d.Settings["replicasOfMe"] = d.Agents - d.Near
	length := time.Duration(0)
	for i := range d.Ops {
		o := &d.Ops[i]
		length = max(length, o.At)
		o.Agent %= d.Near
		if o.Kind != "ask" && rng.IntN(2) == 0 {
			o.Agent = d.Near + rng.IntN(d.Agents-d.Near)
		}
		if o.Kind == "reload" {
			o.Kind = "link-cut"
		}
	}
	kinds := []string{"link-stall-there", "link-stall-back", "link-stall-both", "link-cut", "link-lag", "kill", "term"}
	for range 1 + rng.IntN(4) {
		d.Ops = append(d.Ops, Op{ID: len(d.Ops) + 1, At: time.Duration(rng.Float64() * float64(length)),
			Kind:  kinds[rng.IntN(len(kinds))],
			Agent: rng.IntN(d.Agents), For: time.Duration(between(20, 900)) * ms})
	}
	if promised {
		d.promised(rng, length)
	}
	sort.SliceStable(d.Ops, func(i, j int) bool { return d.Ops[i].At < d.Ops[j].At })
	return d
}

// far tells whether a process is a far gateway.
func (p *process) far() bool { return p.w.day.Near > 0 && p.index >= p.w.day.Near }

func linkAddr(index int) string { return fmt.Sprintf("10.5.0.%d:9443", index+1) }

// file is the operator's file of a process.
func (p *process) file() *operator.Settings {
	o, d := operator.Default(), p.w.day
	if o.Fleet.On = d.Fleet > 0; d.Fleet > 0 {
		o.Fleet.Agents = d.Fleet
	}
	if d.Fast {
		o.Transport.FastCGI.Servers = []string{"all"}
	}
	if d.Near == 0 {
		return o
	}
	g := &o.Gateway
	g.Name, g.Plain = fmt.Sprint("g", p.index), true
	g.RedialMin, g.RedialMax = operator.Duration(5*ms), operator.Duration(200*ms)
	g.DeadAfter = operator.Duration(1500 * ms)
	if p.far() {
		g.Listen = linkAddr(p.index)
		for i := range d.Near {
			g.Peers = append(g.Peers, fmt.Sprint("g", i))
		}
		return o
	}
	site := operator.Site{Name: "there"}
	for i := d.Near; i < d.Agents; i++ {
		site.Peers = append(site.Peers, operator.Peer{Name: fmt.Sprint("g", i), Address: linkAddr(i)})
	}
	g.Sites = []operator.Site{site}
	g.Routes = []operator.Route{{To: []string{"there"}}}
	return o
}

// span is a connection of a link: the two gateways' ends.
type span struct {
	w     *World
	ends  [2]*conn // the near gateway's, the far one's
	procs [2]*process
	count [2]int
	free  [2]time.Duration // when what was sent last that way arrives
	stall [2]time.Duration // until when nothing arrives that way
	over  bool             // nothing that is sent now arrives
	ended [2]bool          // the end has seen it: nothing arrives there any more
}

// spanEnd is one end as its conn knows it.
type spanEnd struct {
	s   *span
	way int // what this end sends goes that way: 0 there, 1 back
}

// dialledLink decides what becomes of a dial to a far gateway.
func (w *World) dialledLink(p *process, d *dial) bool {
	for i := w.day.Near; w.day.Near > 0 && i < w.day.Agents; i++ {
		if d.c.remote != linkAddr(i) {
			continue
		}
		w.after(w.linkTrip(uint64(d.c.id), 0), func() {
			if i >= len(w.agents) || w.agents[i].gone || w.agents[i].leaves {
				p.fail(d, errRefused)
				return
			}
			w.span(p, w.agents[i], d)
		})
		return true
	}
	return false
}

// span completes the connection of a link.
func (w *World) span(near, far *process, d *dial) {
	c := far.net.newConn("link", "")
	w.number(c)
	s := &span{w: w, ends: [2]*conn{d.c, c}, procs: [2]*process{near, far}}
	d.c.peer, c.peer = &spanEnd{s, 0}, &spanEnd{s, 1}
	if !near.up(d) {
		return
	}
	far.net.mu.Lock()
	taken := !far.net.shut && !far.net.dead
	if taken {
		far.net.links = append(far.net.links, c)
		far.net.accepts.Broadcast()
		far.net.open++
		far.conns = append(far.conns, c)
	}
	far.net.mu.Unlock()
	if !taken {
		d.c.reset()
		return
	}
	w.note("c%d of a%d is up to a%d, there c%d", d.c.id, near.index, far.index, c.id)
	w.spans = append(w.spans, s)
}

func (w *World) linkTrip(id, k uint64) time.Duration {
	return time.Duration((0.7 + 0.6*w.day.draw("link", id, k)) * w.day.LinkUs * float64(time.Microsecond))
}

// acted takes what a gateway did on its end to the other one.
func (e *spanEnd) acted(_ *process, a act) {
	s, way := e.s, e.way
	if s.over {
		return
	}
	w, to := s.w, s.ends[1-way]
	s.count[way]++
	t := max(w.now()+w.linkTrip(uint64(s.ends[0].id), uint64(2*s.count[way]+way)), s.free[way]+1, s.stall[way])
	t = w.slot(t)
	s.free[way] = t
	w.push(t, func() { s.arrive(way, to, a) })
}

// arrive brings what was sent, unless the way has stalled meanwhile: then later, in order.
func (s *span) arrive(way int, to *conn, a act) {
	if s.ended[1-way] {
		return
	}
	if w := s.w; s.stall[way] > w.now() {
		t := w.slot(s.stall[way])
		w.push(t, func() { s.arrive(way, to, a) })
		return
	}
	if len(a.out) > 0 {
		to.deliver(a.out)
	}
	if a.closed || a.ended {
		s.w.note("c%d and c%d end", s.ends[0].id, s.ends[1].id)
		s.over, s.ended[1-way] = true, true
		to.finish()
	}
}

// cut breaks a connection of a link. Each end sees it at its own time, one of them perhaps
// much later; what was on its way goes on arriving there until then.
func (s *span) cut() {
	if s.over {
		return
	}
	s.over = true
	for i, c := range s.ends {
		seen := s.w.linkTrip(uint64(c.id), uint64(77+i))
		if x := s.w.day.draw("cut", uint64(c.id)); x < 0.4 {
			seen += time.Duration(x * float64(1500*ms))
		}
		s.w.after(seen, func() {
			s.ended[i] = true
			if !c.gone() {
				s.w.note("c%d is reset", c.id)
				c.reset()
			}
		})
	}
}

// noticedIn is how long both ends of a link may take to know of a cut and to be back from it.
const noticedIn = 1500 * ms

// linkFault plays what happens to links of one gateway; it reports whether it is one.
func (w *World) linkFault(o Op) bool {
	for _, s := range w.spans {
		if s.over || s.procs[0].index != o.Agent && s.procs[1].index != o.Agent {
			continue
		}
		until := w.now() + o.For
		w.troubled = max(w.troubled, until+w.noticed())
		if o.Kind == "link-cut" {
			w.troubled = max(w.troubled, w.now()+noticedIn)
		}
		switch o.Kind {
		case "link-stall-there":
			s.stall[0] = until
		case "link-stall-back":
			s.stall[1] = until
		case "link-stall-both":
			s.stall[0], s.stall[1] = until, until
		case "link-lag": // one connection of a link more than the other
			if w.day.draw("lag", uint64(o.ID), uint64(s.ends[0].id)) < 0.5 {
				s.stall[0] = w.now() + o.For/10
			}
		case "link-cut":
			s.cut()
		}
	}
	switch o.Kind {
	case "link-stall-there", "link-stall-back", "link-stall-both", "link-lag", "link-cut":
		return true
	}
	return false
}

// killed ends what a far gateway that was killed had out: its connections to servers break.
func (p *process) killed() {
	for _, c := range p.conns {
		switch peer := c.peer.(type) {
		case *link:
			p.w.check.gaveUp(peer)
			peer.closedByAgent()
		case *spanEnd:
			peer.s.cut()
		}
	}
}
