package many

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"molepaddle/internal/decide/members"
)

// ViewsOptions is a fleet whose views of each other are played in virtual time.
type ViewsOptions struct {
	Members int
	Zones   int
	Seeds   int               // members 0 to Seeds-1 are the seeds of all; 0: one
	SeedsOf func(i int) []int // a member's, instead
	Seed    uint64
	Delay   time.Duration // one way, of all that goes over a link
	Jitter  time.Duration // at most so much more; what goes one way over a link keeps its order
	Loss    float64       // share of messages that never come, each by itself
	Machine members.Options
	Sized   func(*members.Message) int // bytes of a message; nil: not counted
}

// Views is such a fleet: machines of package members, one a process, and the network between
// them. One goroutine plays it; the same options and calls give the same play.
type Views struct {
	opt     ViewsOptions
	rng     *rand.Rand
	now     time.Duration
	queue   events
	serial  int
	all     []*Viewer
	where   map[string]int // by address
	Cut     func(from, to int) bool
	Lose    func(from, to int) float64 // beside Loss
	Late    time.Duration              // beside Delay
	lateAt  time.Duration              // when it was last late
	Changes []Seen
	Bytes   int64
	Dials   int
}

// Seen is a change with who saw it.
type Seen struct {
	By int
	members.Change
}

// Viewer is one process.
type Viewer struct {
	Machine *members.Machine
	Up      bool
	Stopped bool // SIGSTOP: what comes is lost, as its links are closed by the others meanwhile
	Leaving bool
	Bytes   int64
	life    int // counts its processes
	links   map[members.ID]*pipe
	began   uint64
	flush   bool // one is due
}

// pipe is one end of a link.
type pipe struct {
	to    int
	peer  *pipe
	id    members.ID // of the other end
	ready time.Duration
	heard time.Duration
	over  bool
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// NewViews makes a fleet of which nobody has started.
func NewViews(o ViewsOptions) *Views {
	if o.Machine.Period == 0 {
		o.Machine.Period = members.Default().Period
	}
	v := &Views{opt: o, rng: rand.New(rand.NewPCG(o.Seed, 0x7669657773)), where: map[string]int{}}
	for i := range o.Members {
		v.all = append(v.all, &Viewer{})
		v.where[v.address(i)] = i
	}
	return v
}

func (v *Views) address(i int) string { return fmt.Sprintf("m%d:1", i) }

// Name is a member's.
func (v *Views) Name(i int) string { return fmt.Sprintf("n%04d", i) }

// Zone is where a member stands.
func (v *Views) Zone(i int) int { return i % max(v.opt.Zones, 1) }

// Now is the time of the play.
func (v *Views) Now() time.Duration { return v.now }

// At is a member's process.
func (v *Views) At(i int) *Viewer { return v.all[i] }

func (v *Views) at(when time.Duration, do func()) {
	v.serial++
	heap.Push(&v.queue, event{when, v.serial, do})
}

// Start starts a process of a member, with nothing but its name and its seeds.
func (v *Views) Start(i int) {
	a := v.all[i]
	a.life++
	a.Up, a.Stopped, a.Leaving, a.links, a.flush = true, false, false, map[members.ID]*pipe{}, false
	a.began = max(a.began+1, uint64(v.now)+1)
	o := v.opt.Machine
	o.ID = members.ID{Name: v.Name(i), Incarnation: a.began}
	o.Info = members.Info{Machine: fmt.Sprint("h", i), Zone: fmt.Sprint("z", v.Zone(i)), Role: "agent", Process: "ready", Address: v.address(i)}
	var seeds []int
	if v.opt.SeedsOf != nil {
		seeds = v.opt.SeedsOf(i)
	} else {
		for s := range max(v.opt.Seeds, 1) {
			seeds = append(seeds, s)
		}
	}
	for _, s := range seeds {
		o.Seeds = append(o.Seeds, v.address(s))
	}
	a.Machine = members.New(o, v.opt.Seed^uint64(i)<<20^a.began)
	life := a.life
	var tick func()
	tick = func() {
		if a.life != life || !a.Up {
			return
		}
		v.input(i, func() {
			for _, p := range a.links { // a link closes itself after a silence
				if v.now-p.heard > 6*o.Period {
					v.close(i, p)
				}
			}
			v.carry(i, a.Machine.Tick(v.now))
		})
		v.at(v.now+o.Period, tick)
	}
	v.at(v.now+time.Duration(v.rng.Int64N(int64(o.Period))), tick)
}

// input has a process take something, if it runs.
func (v *Views) input(i int, do func()) {
	if a := v.all[i]; a.Up && !a.Stopped {
		do()
	}
}

// Stop and Continue are SIGSTOP and SIGCONT.
func (v *Views) Stop(i int) { v.all[i].Stopped = true }

// Continue lets a process go on: it makes one step for all the time.
func (v *Views) Continue(i int) {
	a := v.all[i]
	a.Stopped = false
	if a.Up {
		v.carry(i, a.Machine.Tick(v.now))
	}
}

// Kill ends a process at once. loud: its machine still answers, so its links are reset.
func (v *Views) Kill(i int, loud bool) {
	a := v.all[i]
	a.Up = false
	for _, p := range a.links {
		if loud {
			v.reset(p)
		}
	}
	a.links = nil
}

// Leave ends a process as planned.
func (v *Views) Leave(i int) {
	v.all[i].Leaving = true
	v.carry(i, v.all[i].Machine.Leave(v.now))
	v.at(v.now+time.Millisecond, func() { v.Kill(i, true) })
}

func (v *Views) cut(from, to int) bool { return v.Cut != nil && v.Cut(from, to) }

// delay is how long something takes now.
func (v *Views) delay() time.Duration {
	return v.opt.Delay + v.Late + time.Duration(v.rng.Float64()*float64(v.opt.Jitter))
}

// reset tells the other end of a link that it has ended, if that can be told.
func (v *Views) reset(p *pipe) {
	q := p.peer
	if q == nil || q.over || v.cut(q.to, p.to) {
		return
	}
	to := p.to
	v.at(v.now+v.delay(), func() { v.input(to, func() { v.close(to, q) }) })
}

// close ends a link at one end.
func (v *Views) close(i int, p *pipe) {
	if p.over {
		return
	}
	p.over = true
	a := v.all[i]
	if a.links[p.id] == p {
		delete(a.links, p.id)
		v.carry(i, a.Machine.LinkDown(v.now, p.id))
	}
	v.reset(p)
}

// carry does what a machine wants.
func (v *Views) carry(i int, out members.Output) {
	a := v.all[i]
	for _, c := range out.Changes {
		v.Changes = append(v.Changes, Seen{i, c})
	}
	for _, s := range out.Send {
		if p := a.links[s.To]; p != nil {
			v.send(i, p, s.Message)
		}
	}
	for _, id := range out.Drop {
		if p := a.links[id]; p != nil {
			v.close(i, p)
		}
	}
	for _, t := range out.Dial {
		v.dial(i, t)
	}
	if life := a.life; !a.flush && a.Machine.HasPending() {
		a.flush = true
		v.at(v.now+v.opt.Machine.Period/20, func() {
			if a.life == life {
				a.flush = false
				v.input(i, func() { v.carry(i, a.Machine.Flush(v.now)) })
			}
		})
	}
}

func (v *Views) send(i int, p *pipe, msg members.Message) {
	a := v.all[i]
	if v.opt.Sized != nil {
		n := int64(v.opt.Sized(&msg))
		v.Bytes += n
		a.Bytes += n
	}
	lost := v.opt.Loss
	if v.Lose != nil {
		lost = max(lost, v.Lose(i, p.to))
	}
	if v.cut(i, p.to) || v.rng.Float64() < lost {
		return
	}
	p.ready = max(p.ready, v.now+v.delay())
	q := p.peer
	v.at(p.ready, func() {
		v.input(p.to, func() {
			if q.over {
				return
			}
			q.heard = v.now
			v.carry(p.to, v.all[p.to].Machine.Receive(v.now, q.id, msg))
		})
	})
}

// dial opens a link: three ways over the network, and a process that is there.
func (v *Views) dial(i int, t members.Target) {
	to, known := v.where[t.Address]
	a := v.all[i]
	if !known || to == i {
		return
	}
	v.Dials++
	life := a.life
	if v.cut(i, to) || v.cut(to, i) {
		return
	}
	v.at(v.now+2*v.delay(), func() {
		b := v.all[to]
		if a.life != life || !a.Up || !b.Up || b.Stopped || a.Stopped || v.cut(i, to) || v.cut(to, i) {
			return
		}
		mine, theirs := a.Machine.ID(), b.Machine.ID()
		if t.ID.Name != "" && (t.ID.Name != theirs.Name || theirs.Incarnation < t.ID.Incarnation) || a.links[theirs] != nil || b.links[mine] != nil {
			return
		}
		x, y := &pipe{to: to, id: theirs, heard: v.now}, &pipe{to: i, id: mine, heard: v.now}
		x.peer, y.peer = y, x
		a.links[theirs], b.links[mine] = x, y
		v.carry(i, a.Machine.LinkUp(v.now, theirs))
		v.carry(to, b.Machine.LinkUp(v.now, mine))
	})
}

// Step plays the next event.
func (v *Views) Step() {
	e := heap.Pop(&v.queue).(event)
	v.now = e.at
	e.do()
}

// Run plays for so long.
func (v *Views) Run(d time.Duration) {
	end := v.now + d
	for len(v.queue) > 0 && v.queue[0].at <= end {
		v.Step()
	}
	v.now = end
}

// Until plays until something holds, asked each tenth of a period, and tells how long that took;
// it gives up after most.
func (v *Views) Until(most time.Duration, holds func() bool) (took time.Duration, ok bool) {
	began := v.now
	for !holds() {
		if v.now-began > most {
			return v.now - began, false
		}
		v.Run(v.opt.Machine.Period / 10)
	}
	return v.now - began, true
}

// Agreed tells whether all of these that run have one view, in which just these are alive.
func (v *Views) Agreed(these []int) bool {
	for _, i := range these {
		if v.all[i].Machine.Digest() != v.all[these[0]].Machine.Digest() {
			return false
		}
	}
	for _, i := range these {
		alive := 0
		for _, m := range v.all[i].Machine.View().Members {
			if m.State == members.Alive {
				alive++
			}
		}
		if alive != len(these) {
			return false
		}
	}
	return true
}

// Believes counts those of these who believe that of a member's present process.
func (v *Views) Believes(these []int, of int, is func(s members.State, i members.Info) bool) (n int) {
	id := v.all[of].Machine.ID()
	for _, i := range these {
		if s, info, ok := v.all[i].Machine.StateOf(id); ok && is(s, info) {
			n++
		}
	}
	return n
}
