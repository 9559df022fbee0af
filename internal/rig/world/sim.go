// Package world plays days of trouble on the agent's real network code: front end, core,
// transport, pool and roster's client run unchanged on an in-memory network and a virtual
// clock, against scripted servers, rosters and clients. The same seed gives the same day,
// byte for byte.
//
// A day runs in a testing/synctest bubble. The agents' goroutines run in it as they do in
// service; the world itself is one goroutine, which owns all other state in this package:
// it does one thing to the agents, waits until they have come to rest, collects what they
// did in an order of its own, and goes on to the next thing. No two things are done to
// them at once, so nothing depends on which goroutine is first. network, in net.go, is
// what both sides share, under its lock.
//
// The checker sees what passes on the wires and what rosters have told, and nothing else.
package world

import (
	"cmp"
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing/synctest"
	"time"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/decide/promises"
	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/config"
)

// event is something that the world will do.
type event struct {
	at  time.Duration // since the day's start
	seq int           // of events at the same time, the order in which they came
	do  func()
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// World is one day as it is played.
type World struct {
	day      *Day
	start    time.Time
	wake     chan struct{}
	events   queue
	seq      int
	used     map[time.Duration]bool // instants at which something happens
	agents   []*process
	servers  []*server
	byDial   map[string]*server
	truth    []change // what the roster knows, in order
	rosters  map[string]*roster
	spans    []*span
	troubled time.Duration // until when a cancel may not get across a link
	check    *checker
	nextConn int
	steps    int
	over     bool
	trace    io.Writer // nil: none
	fellowship
}

// process is one agent, from a start to its end.
type process struct {
	w      *World
	index  int
	run    int // counts the starts under this name
	net    *network
	agent  *agent.Agent
	cancel context.CancelFunc
	ended  chan error
	conns  []*conn // open ones, by number
	idle   []*conn // clients' connections on which nothing is asked
	roster string
	config map[string]any
	gone   bool // it has ended or was killed
	leaves bool // it was told to end
	fellow *fellow
}

// Result is what a day came to.
type Result struct {
	Breaches []Breach
	Steps    int
	Virtual  time.Duration
	Requests int
	Attempts int
	Counts   map[string]int // of what happened, by name
}

// Play plays a day in a bubble, which the caller has made, and writes its trace to w if
// that is not nil.
func Play(day *Day, w io.Writer) Result {
	x := &World{day: day, start: time.Now(), wake: make(chan struct{}, 1), used: map[time.Duration]bool{},
		byDial: map[string]*server{}, rosters: map[string]*roster{}, trace: w,
		fellowship: fellowship{aparts: map[[2]int]time.Duration{}, ways: map[[2]members.ID]time.Duration{}, register: promises.NewRegister()}}
	x.check = newChecker(x)
	x.setUp()
	x.run()
	return Result{Breaches: x.check.breaches, Steps: x.steps, Virtual: x.now(), Requests: x.check.asked,
		Attempts: x.check.sent, Counts: x.check.counts}
}

func (w *World) now() time.Duration { return time.Since(w.start) }

// notify tells the world that an agent did something.
func (w *World) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// at plans something for an instant of its own, the next that is free.
func (w *World) at(t time.Duration, do func()) { w.push(w.slot(t), do) }

// slot finds the next instant that is free.
func (w *World) slot(t time.Duration) time.Duration {
	t = max(t, w.now())
	for w.used[t] {
		t++
	}
	w.used[t] = true
	return t
}

// push plans something for that instant, behind all that is planned for it.
func (w *World) push(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, &event{t, w.seq, do})
}

func (w *World) after(d time.Duration, do func()) { w.at(w.now()+d, do) }

// note writes a line of the trace.
func (w *World) note(format string, args ...any) {
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%12.6f ", float64(w.now())/1e6)
		fmt.Fprintf(w.trace, format+"\n", args...)
	}
}

// run plays until nothing is planned any more.
func (w *World) run() {
	for {
		synctest.Wait()
		if w.collect() {
			continue
		}
		if len(w.events) == 0 || len(w.check.breaches) > 20 {
			break
		}
		next := w.events[0]
		if left := next.at - w.now(); left > 0 {
			t := time.NewTimer(left)
			select {
			case <-t.C:
			case <-w.wake:
				t.Stop()
			}
			continue
		}
		heap.Pop(&w.events)
		delete(w.used, next.at)
		w.steps++
		next.do()
	}
	for _, p := range w.agents {
		p.kill()
	}
	synctest.Wait()
}

// act is what an agent did on one connection since the world last looked.
type act struct {
	c             *conn
	out           []byte
	ended, closed bool
}

// collect takes up what the agents did, and reports whether there was anything. Of what
// they did in one instant the order is the world's: what was closed comes before what was
// written, and all by the numbers of connections, which follow from what they are for.
func (w *World) collect() bool {
	any := false
	for _, p := range w.agents {
		var acts []act
		var dials, given []*dial
		n := p.net
		n.mu.Lock()
		for _, c := range n.changed {
			c.dirty = false
			acts = append(acts, act{c, c.out, c.ended && !c.seen.ended, c.closed && !c.seen.closed})
			c.out = nil
		}
		n.changed = n.changed[:0]
		kept := n.dials[:0]
		for _, d := range n.dials {
			if !d.known {
				d.known = true
				dials = append(dials, d)
			}
			if d.given {
				given = append(given, d)
			} else {
				kept = append(kept, d)
			}
		}
		n.dials = kept
		dead := n.dead
		n.mu.Unlock()
		if dead {
			continue
		}
		slices.SortFunc(acts, func(x, y act) int {
			late := func(a act) int { // what was closed, what was written and closed, what was written
				switch {
				case !a.closed:
					return 2
				case len(a.out) > 0:
					return 1
				}
				return 0
			}
			return cmp.Or(cmp.Compare(late(x), late(y)), cmp.Compare(x.c.id, y.c.id))
		})
		for _, a := range acts {
			any = true
			w.acted(p, a)
		}
		byPurpose := func(x, y *dial) int {
			return cmp.Or(strings.Compare(x.c.remote, y.c.remote), strings.Compare(x.c.purpose, y.c.purpose))
		}
		slices.SortFunc(dials, byPurpose)
		for _, d := range dials {
			any = true
			w.number(d.c)
			w.note("a%d c%d dials %s for %s", p.index, d.c.id, d.c.remote, d.c.purpose)
			w.dialled(p, d)
		}
		slices.SortFunc(given, byPurpose)
		for _, d := range given {
			any = true
			w.note("a%d c%d gives up its dial", p.index, d.c.id)
			w.check.asks(p, d.c, false)
		}
	}
	return w.words() || any
}

func (w *World) number(c *conn) {
	w.nextConn++
	c.id = w.nextConn
}

// acted takes up what an agent did on a connection.
func (w *World) acted(p *process, a act) {
	c := a.c
	if len(a.out) > 0 {
		w.note("a%d c%d writes %d bytes %.60q", p.index, c.id, len(a.out), a.out)
	}
	if a.closed || a.ended {
		w.note("a%d c%d closed=%v ended=%v", p.index, c.id, a.closed, a.ended)
	}
	c.seen.ended, c.seen.closed = c.seen.ended || a.ended, c.seen.closed || a.closed
	switch peer := c.peer.(type) {
	case *link:
		peer.acted(p, a)
	case *caller:
		peer.acted(p, a)
	case *client:
		peer.acted(p, a)
	case *spanEnd:
		peer.acted(p, a)
	}
	if a.closed {
		p.drop(c)
	}
}

func (p *process) drop(c *conn) {
	p.conns = slices.DeleteFunc(p.conns, func(o *conn) bool { return o == c })
	p.idle = slices.DeleteFunc(p.idle, func(o *conn) bool { return o == c })
}

// up completes a dial, unless it was given up; it reports whether it did.
func (p *process) up(d *dial) bool {
	d.c.n.mu.Lock()
	given := d.given || d.c.n.dead
	if !given {
		d.c.n.dials = slices.DeleteFunc(d.c.n.dials, func(o *dial) bool { return o == d })
		d.c.n.open++
	}
	d.c.n.mu.Unlock()
	if given {
		return false
	}
	p.conns = append(p.conns, d.c)
	d.result <- nil
	return true
}

// fail ends a dial without a connection.
func (p *process) fail(d *dial, err error) {
	d.c.n.mu.Lock()
	given := d.given || d.c.n.dead
	d.c.n.dials = slices.DeleteFunc(d.c.n.dials, func(o *dial) bool { return o == d })
	d.c.n.mu.Unlock()
	if !given {
		p.w.check.asks(p, d.c, false)
		d.result <- err
	}
}

// dialled decides what becomes of a dial.
func (w *World) dialled(p *process, d *dial) {
	if r := w.rosters[d.c.remote]; r != nil {
		w.check.asks(p, d.c, true)
		r.dialled(p, d)
		return
	}
	if w.dialledLink(p, d) {
		return
	}
	if s := w.byDial[d.c.remote]; s != nil {
		s.dialled(p, d)
		return
	}
	w.after(w.trip(d.c, 0), func() { p.fail(d, errRefused) })
}

// trip is how long something takes one way on a connection; k counts what was sent there.
func (w *World) trip(c *conn, k int) time.Duration {
	base := w.day.TripUs
	x := w.day.draw("trip", uint64(c.id), uint64(k))
	return time.Duration((0.7 + 0.6*x) * base * float64(time.Microsecond))
}

// start begins an agent's process, from nothing.
func (w *World) launch(index, run int, rosterAddr string) *process {
	p := &process{w: w, index: index, run: run, net: newNetwork(w), ended: make(chan error, 1), roster: rosterAddr}
	p.config = w.config(p)
	conf := p.parse()
	log := slog.New(slog.DiscardHandler)
	if w.trace != nil && w.day.Logs {
		log = slog.New(slog.NewTextHandler(w.trace, nil)).With("agent", index)
	}
	network := agent.Network{Dial: p.net.Dial, Links: listener{p.net, true}}
	if p.fellow = w.fellow(p); p.fellow != nil {
		network.Promises = p.fellow.part
	}
	a, err := agent.New(conf, p.file(), network, log)
	if err != nil {
		panic(fmt.Sprintf("seed %d: %v", w.day.Seed, err))
	}
	p.agent = a
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	if p.fellow != nil {
		p.fellow.run()
	}
	go func() { p.ended <- a.Serve(ctx, listener{p.net, false}) }()
	w.note("a%d starts, run %d", index, run)
	w.check.started(p)
	return p
}

func (p *process) parse() *config.Config {
	text, err := json.Marshal(p.config)
	if err != nil {
		panic(err)
	}
	c, err := config.Parse(text)
	if err != nil {
		panic(fmt.Sprintf("seed %d: %v", p.w.day.Seed, err))
	}
	return c
}

// reload is SIGHUP, with another roster in the file.
func (p *process) reload(rosterAddr string) {
	if p.gone {
		return
	}
	p.w.note("a%d SIGHUP, roster %s", p.index, rosterAddr)
	p.roster = rosterAddr
	p.config["discovery"] = rosterAddr
	if err := p.agent.Reload(p.parse(), p.file()); err != nil {
		p.w.check.breach("a reload fails", "a%d: %v", p.index, err)
	}
}

// resettle is SIGHUP with other settings, in which each class has another number and one more is named
// or dropped; what binds requests is as before.
func (p *process) resettle(number int) {
	if p.gone || p.finished() {
		return
	}
	set := maps.Clone(p.config["settings"].(map[string]any))
	classes := []any{}
	for _, c := range set["classes"].([]any)[:len(classNames)] {
		other := maps.Clone(c.(map[string]any))
		other["credit"] = float64(1 + number%7)
		classes = append(classes, other)
	}
	if number%2 == 0 {
		more := maps.Clone(classes[order].(map[string]any))
		more["name"] = "more"
		classes = append(classes, more)
	}
	set["classes"] = classes
	p.config["settings"] = set
	p.w.note("a%d SIGHUP, other settings", p.index)
	if err := p.agent.Reload(p.parse(), p.file()); err != nil && p.w.day.Near == 0 {
		p.w.check.breach("a reload fails", "a%d: %v", p.index, err)
	}
}

// terminate is SIGTERM.
func (p *process) terminate() {
	if !p.gone && !p.leaves {
		p.w.note("a%d SIGTERM", p.index)
		p.leaves = true
		p.cancel()
	}
}

// finished tells whether the process has ended by itself.
func (p *process) finished() bool {
	if p.gone {
		return true
	}
	select {
	case err := <-p.ended:
		p.gone = true
		p.fellow.over()
		if err != nil {
			p.w.check.breach("the agent ended with an error", "a%d: %v", p.index, err)
		}
		return true
	default:
		return false
	}
}

// kill ends the process at once, with all that it holds.
func (p *process) kill() {
	if p.finished() && p.net.dead {
		return
	}
	if !p.gone {
		p.w.note("a%d killed", p.index)
	}
	p.gone = true
	p.fellow.over()
	if p.w.day.Near > 0 {
		p.killed()
	}
	p.net.kill(p.conns)
	p.cancel()
	_ = p.agent.Close()
	p.conns, p.idle = nil, nil
}
