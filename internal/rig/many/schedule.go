package many

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"molepaddle/internal/decide/members"
)

// Fault is one step of a schedule: from a time on the network has parts, and something happens to
// one member.
type Fault struct {
	At    time.Duration
	What  string // parts, ring, one-way, bridge, whole; kill, crash, start, stop, continue, leave; late, on-time
	Parts []int  // of parts: a number for each member
	Who   int    // of the others, where one is meant
}

func (f Fault) String() string {
	switch {
	case f.What == "parts":
		return fmt.Sprintf("%v parts %v", f.At, f.Parts)
	case f.Who >= 0:
		return fmt.Sprintf("%v %s %d", f.At, f.What, f.Who)
	}
	return fmt.Sprintf("%v %s", f.At, f.What)
}

// Schedule is a play as data.
type Schedule struct {
	Seed    uint64
	Members int
	Loss    float64
	Faults  []Fault
}

func (s *Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d members, %.0f %% lost", s.Seed, s.Members, 100*s.Loss)
	for _, f := range s.Faults {
		fmt.Fprintf(&b, "\n  %v", f)
	}
	return b.String()
}

// Draw draws a schedule of a seed: up to eight faults, with times between that are shorter and longer
// than a death takes, and an end at which all that is left is whole again.
// It is for n members; 0: their number and a share of lost messages are drawn too.
func Draw(seed uint64, n int) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x7363686564))
	s := &Schedule{Seed: seed, Members: 5 + rng.IntN(8)}
	switch rng.IntN(20) {
	case 0:
		s.Members = 13 + rng.IntN(48)
	case 1, 2, 3:
		s.Loss = 0.05 + 0.15*rng.Float64()
	}
	if n > 0 {
		s.Members, s.Loss = n, 0
	}
	at := 12 * time.Second
	for range 1 + rng.IntN(8) {
		f := Fault{At: at, Who: -1}
		switch rng.IntN(12) {
		case 0, 1, 2:
			f.What = "parts"
			k := 2 + rng.IntN(2)
			for range s.Members {
				f.Parts = append(f.Parts, rng.IntN(k))
			}
		case 3:
			f.What, f.Parts = "parts", make([]int, s.Members)
			f.Parts[rng.IntN(s.Members)] = 1
		case 4:
			f.What = []string{"ring", "bridge", "late"}[rng.IntN(3)]
		case 5:
			f.What, f.Who = "one-way", rng.IntN(s.Members)
		case 6, 7:
			f.What, f.Who = []string{"kill", "crash", "leave"}[rng.IntN(3)], rng.IntN(s.Members)
		case 8:
			f.What, f.Who = "start", rng.IntN(s.Members)
		case 9:
			f.What, f.Who = "stop", rng.IntN(s.Members)
		case 10:
			f.What, f.Who = "continue", rng.IntN(s.Members)
		default:
			f.What = []string{"whole", "on-time"}[rng.IntN(2)]
		}
		s.Faults = append(s.Faults, f)
		at += time.Duration(rng.ExpFloat64() * float64(3*time.Second))
	}
	return s
}

// settles is how long a fleet may take from the last fault until it has one view again: a partition
// heals in 5 s, and what nobody has proven yet takes some more to be found dead.
const settles = 25 * time.Second

// Play plays a schedule and tells what went wrong: somebody believed dead who could be reached both
// ways, or views that have not settled after the end of all faults.
func Play(s *Schedule) error {
	v := NewViews(ViewsOptions{Members: s.Members, Zones: 3, Seeds: 2, Seed: s.Seed, Delay: 2 * time.Millisecond, Jitter: 5 * time.Millisecond, Loss: s.Loss})
	n := s.Members
	for i := range n {
		v.Start(i)
	}
	reached := newReach(n)
	var wrong error
	look := func() {
		for _, c := range v.Changes {
			if c.State != members.Dead || wrong != nil || !v.all[c.By].Up {
				continue
			}
			for _, id := range c.IDs {
				for of, a := range v.all {
					if a.Up && a.Machine.ID() == id && reached.since[c.By*n+of] >= 0 && v.now-reached.since[c.By*n+of] > stale(v) {
						wrong = fmt.Errorf("at %v %s believes %s dead, who could be reached for %v: %s", c.At, v.Name(c.By), v.Name(of), v.now-reached.since[c.By*n+of], c.Reason)
					}
				}
			}
		}
		v.Changes = v.Changes[:0]
	}
	run := func(until time.Duration) {
		for v.now < until && wrong == nil {
			if v.Late > 0 {
				v.lateAt = v.now
			}
			v.Run(min(until-v.now, 250*time.Millisecond))
			look()
		}
	}
	reached.update(v)
	for _, f := range s.Faults {
		run(f.At)
		f.apply(v)
		reached.update(v)
	}
	run(v.now + 2*time.Second)
	v.Cut, v.Late = nil, 0
	for i, a := range v.all {
		if a.Up && a.Stopped {
			v.Continue(i)
		}
	}
	reached.update(v)
	var left []int
	for i, a := range v.all {
		if a.Up && !a.Leaving {
			left = append(left, i)
		}
	}
	v.opt.Loss = 0
	_, ok := v.Until(settles, func() bool { look(); return wrong != nil || v.Agreed(left) })
	if wrong == nil && !ok {
		wrong = fmt.Errorf("not settled %v after the end of all faults; %d of %d run", settles, len(left), n)
	}
	return wrong
}

// stale is for how long after a change of the network what was said before it may still be
// concluded: a death takes 4 s, and where each link is late by 2 s its answer takes as much over
// every link.
func stale(v *Views) time.Duration {
	if v.lateAt > 0 && v.now-v.lateAt < 30*time.Second {
		return 30 * time.Second
	}
	return 8 * time.Second
}

func (f *Fault) apply(v *Views) {
	n := len(v.all)
	switch f.What {
	case "parts":
		v.Cut = func(a, b int) bool { return f.Parts[a] != f.Parts[b] }
	case "ring": // each hears only the one before
		v.Cut = func(a, b int) bool { return (a+1)%n != b }
	case "bridge": // halves that only 0 and 1 connect
		v.Cut = func(a, b int) bool { return a%2 != b%2 && !(a < 2 && b < 2) }
	case "one-way":
		v.Cut = func(a, b int) bool { return a == f.Who && b%2 == 0 }
	case "whole":
		v.Cut = nil
	case "late":
		v.Late = 2 * time.Second
	case "on-time":
		v.Late = 0
	case "kill", "crash":
		if v.all[f.Who].Up {
			v.Kill(f.Who, f.What == "kill")
		}
	case "leave":
		if a := v.all[f.Who]; a.Up && !a.Stopped {
			v.Leave(f.Who)
		}
	case "start":
		if !v.all[f.Who].Up {
			v.Start(f.Who)
		}
	case "stop":
		if v.all[f.Who].Up {
			v.Stop(f.Who)
		}
	case "continue":
		if a := v.all[f.Who]; a.Up && a.Stopped {
			v.Continue(f.Who)
		}
	}
}

// reach is since when each can reach each, both ways and over others that run; -1: it can't.
type reach struct {
	n     int
	since []time.Duration
}

func newReach(n int) *reach {
	r := &reach{n: n, since: make([]time.Duration, n*n)}
	for i := range r.since {
		r.since[i] = -1
	}
	return r
}

func (r *reach) update(v *Views) {
	from := make([][]bool, r.n)
	for i := range r.n {
		from[i] = make([]bool, r.n)
		todo := []int{i}
		if a := v.all[i]; !a.Up || a.Stopped || a.Leaving {
			continue
		}
		from[i][i] = true
		for len(todo) > 0 {
			at := todo[0]
			todo = todo[1:]
			for j, b := range v.all {
				// A link carries nothing one way only for long: it is never greeted.
				if b.Up && !b.Stopped && !b.Leaving && !from[i][j] && !v.cut(at, j) && !v.cut(j, at) {
					from[i][j] = true
					if v.opt.Loss == 0 { // with messages lost, an answer over one bridge may be too late
						todo = append(todo, j)
					}
				}
			}
		}
	}
	for i := range r.n {
		for j := range r.n {
			k := i*r.n + j
			switch both := from[i][j] && from[j][i]; {
			case !both:
				r.since[k] = -1
			case r.since[k] < 0:
				r.since[k] = v.now
			}
		}
	}
}

// Shrink drops faults as long as the play still goes wrong, and gives what is left.
func Shrink(s *Schedule) *Schedule {
	for again := true; again; {
		again = false
		for i := range s.Faults {
			less := *s
			less.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
			if Play(&less) != nil {
				s, again = &less, true
				break
			}
		}
	}
	return s
}
