package world

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/decide/promises"
	"molepaddle/internal/process/promise"
	"molepaddle/internal/process/seat"
	"molepaddle/internal/protocol/peers"
)

// This file is what days have on which far gateways promise to each other what they begin: the words between
// them, which are late, lost or cut off, their view of each other, and a council that settles, now and then
// without anybody hearing so. The parts that promise (package promise) run as they do in service.

// fellow is a far gateway's end among the others.
type fellow struct {
	w    *World
	p    *process
	id   members.ID
	part *promise.Replicator
	end  context.CancelFunc
	born time.Duration
	dead time.Duration // when it ended; 0: it runs

	mu    sync.Mutex // of what both sides share
	view  members.View
	said  []said
	calls []call
}

// said is a word on its way out, and call one to the council.
type said struct {
	to members.ID
	w  peers.Word
}

type call struct {
	c      seat.Call
	ctx    context.Context
	answer chan seat.Answer
}

func (f *fellow) View() (members.View, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.w.start
}

func (f *fellow) Say(to members.ID, w peers.Word) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.ContainsFunc(f.view.Members, func(m members.Member) bool { return m.ID == to && m.Linked }) {
		return peers.ErrQueueFull
	}
	f.said = append(f.said, said{to, w})
	f.w.notify()
	return nil
}

func (f *fellow) Wish(string, []string)   {}
func (f *fellow) Set(func(*members.Info)) {}

// council brings a call to the council and waits.
func (f *fellow) council(ctx context.Context, c seat.Call) seat.Answer {
	answer := make(chan seat.Answer, 1)
	f.mu.Lock()
	f.calls = append(f.calls, call{c, ctx, answer})
	f.mu.Unlock()
	f.w.notify()
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return seat.Answer{Retryable: true, Error: "no word from the council"}
	}
}

// fellow makes a far gateway's end, before its agent.
func (w *World) fellow(p *process) *fellow {
	if !w.day.Promises || !p.far() {
		return nil
	}
	name := fmt.Sprint("g", p.index)
	f := &fellow{w: w, p: p, id: members.ID{Name: name, Incarnation: uint64(p.run + 1)}, born: w.now()}
	f.part = promise.New(promise.Options{Machine: name, Zone: name, Replicas: 1 + int(2*w.day.draw("copies")), AllowFewer: w.day.draw("fewer") < 0.5, Retention: time.Minute,
		MaxReplyBytes: 1 << 20, Log: slog.New(slog.DiscardHandler)})
	f.part.Bind(f, f.council, 20*ms)
	return f
}

// run runs it.
func (f *fellow) run() {
	ctx, cancel := context.WithCancel(context.Background())
	f.end = cancel
	f.w.fellows = append(f.w.fellows, f)
	f.w.sight()
	go f.part.Run(ctx)
}

// over takes that its process has ended.
func (f *fellow) over() {
	if f != nil && f.dead == 0 {
		f.end()
		f.dead = max(f.w.now(), 1)
		f.w.sight()
		f.w.after(200*ms, f.w.sight)
	}
}

// apart tells whether no word comes from one to another.
func (w *World) apart(a, b int) bool {
	return w.aparts[[2]int{a, b}] > w.now()
}

// sight gives all of them the view that they have now: who is cut off or has ended is not linked, and believed dead some
// time later.
func (w *World) sight() {
	for _, f := range w.fellows {
		v := members.View{Self: f.id}
		for _, o := range w.fellows {
			if o.dead > 0 && w.now() > o.dead+2*time.Second {
				continue
			}
			linked := o.dead == 0 && !w.apart(f.p.index, o.p.index) && !w.apart(o.p.index, f.p.index)
			m := members.Member{ID: o.id, Linked: linked || o == f, State: members.Alive, Info: members.Info{Machine: o.id.Name, Zone: o.id.Name, Holds: true}}
			if !m.Linked {
				m.State = members.Suspect
			}
			if o.dead > 0 && w.now() >= o.dead+200*ms {
				m.State = members.Dead
			}
			m.Orders = "a council"
			v.Members = append(v.Members, m)
		}
		f.mu.Lock()
		f.view = v
		f.mu.Unlock()
	}
}

// words takes up what they have said and asked of the council, and reports whether there was anything.
func (w *World) words() (any bool) {
	for _, f := range w.fellows {
		f.mu.Lock()
		all, calls := f.said, f.calls
		f.said, f.calls = nil, nil
		f.mu.Unlock()
		for _, s := range all {
			any = true
			w.carry(f, s)
		}
		slices.SortStableFunc(calls, func(a, b call) int { return cmp.Compare(callName(&a), callName(&b)) })
		for _, c := range calls {
			any = true
			w.settle(f, c)
		}
	}
	return any
}

func callName(c *call) string {
	if c.c.Promise == nil {
		return ""
	}
	return fmt.Sprint(c.c.Promise.Holder.Name, c.c.Promise.Holder.Incarnation, c.c.Promise.Epoch, c.c.Promise.By.Name)
}

// carry brings a word to another, if it does not get lost. Words of one to another keep their order, as a link's do.
func (w *World) carry(f *fellow, s said) {
	at := slices.IndexFunc(w.fellows, func(o *fellow) bool { return o.id == s.to && o.dead == 0 })
	if at < 0 || f.dead > 0 {
		return
	}
	to := w.fellows[at]
	w.wordsSaid++
	lost := w.day.draw("word", w.wordsSaid) < 0.1 && w.lossy > w.now()
	t := w.slot(max(w.now()+time.Duration((0.5+w.day.draw("way", w.wordsSaid))*w.day.TripUs*float64(time.Microsecond)), w.ways[[2]members.ID{f.id, to.id}]+1))
	w.ways[[2]members.ID{f.id, to.id}] = t
	w.push(t, func() {
		if !lost && to.dead == 0 && !w.apart(f.p.index, to.p.index) {
			to.part.Receive(f.id, s.w)
		}
	})
}

// settle does what a council would: late, not at all, or without its word coming back.
func (w *World) settle(f *fellow, c call) {
	w.callsMade++
	x := w.day.draw("council", w.callsMade)
	wait := time.Duration((0.5 + x) * 3 * w.day.TripUs * float64(time.Microsecond))
	if x < 0.1 {
		wait += time.Duration(1000*x) * ms
	}
	if w.councilOut > w.now() && x < 0.7 {
		return // nobody leads: the caller waits
	}
	w.after(wait, func() {
		a := seat.Answer{}
		if c.c.Operation == seat.ReplicaSets {
			a.Report = &seat.Report{ReplicaSets: w.register.All()}
		} else if err := w.register.Apply(int64(w.now()/time.Second), c.c.Promise); err != nil {
			a.Error = err.Error()
		} else if c.c.Promise.By.Name != "" {
			w.check.count("seals")
			w.note("g%d has %s sealed", f.p.index, c.c.Promise.Holder.Name)
		} else {
			w.check.count("epochs")
			w.note("epoch %d of %s is settled, with %v", c.c.Promise.Epoch, c.c.Promise.Holder.Name, c.c.Promise.Replicas)
		}
		back := wait
		if y := w.day.draw("back", w.callsMade); y < 0.15 { // the word comes late, perhaps after it was asked for again
			back += time.Duration(2000*y) * ms
		}
		w.after(back, func() {
			if c.ctx.Err() == nil && f.dead == 0 {
				c.answer <- a
			}
		})
	})
}

// fellowFault plays what happens between far gateways; it reports whether it is one.
func (w *World) fellowFault(o Op) bool {
	if !strings.HasPrefix(o.Kind, "fellow-") {
		return false
	}
	until := w.now() + o.For
	for i := w.day.Near; i < w.day.Agents; i++ {
		switch o.Kind {
		case "fellow-apart": // cut off from all others, both ways
			w.aparts[[2]int{o.Agent, i}], w.aparts[[2]int{i, o.Agent}] = until, until
		case "fellow-deaf": // it hears nobody
			w.aparts[[2]int{i, o.Agent}] = until
		}
	}
	switch o.Kind {
	case "fellow-lossy":
		w.lossy = until
	case "fellow-no-council":
		w.councilOut = until
	}
	w.sight()
	w.after(o.For+1, w.sight)
	return true
}

// promised makes a day of two sites one on which far gateways promise.
func (d *Day) promised(rng *rand.Rand, length time.Duration) {
	d.Promises = true
	kinds := []string{"fellow-apart", "fellow-apart", "fellow-deaf", "fellow-lossy", "fellow-no-council", "kill", "kill", "link-stall-both", "link-cut"}
	for range 2 + rng.IntN(5) {
		d.Ops = append(d.Ops, Op{ID: len(d.Ops) + 1, At: time.Duration(rng.Float64() * float64(length)), Kind: kinds[rng.IntN(len(kinds))],
			Agent: d.Near + rng.IntN(d.Agents-d.Near), For: time.Duration(20+rng.IntN(900)) * ms})
	}
}

// fellowship is what a World has of this.
type fellowship struct {
	fellows    []*fellow
	aparts     map[[2]int]time.Duration
	ways       map[[2]members.ID]time.Duration
	register   *promises.Register
	lossy      time.Duration
	councilOut time.Duration
	wordsSaid  uint64
	callsMade  uint64
}
