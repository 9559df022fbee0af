package seat

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/decide/orders"
	"molepaddle/internal/decide/work"
	"molepaddle/internal/protocol/peers"
)

// rig is seats of agents on machines h0, h1, ... whose words come at once and whose views are true. Nothing in it waits for a
// clock: step is a tick of all.
type rig struct {
	t       *testing.T
	seats   []*Seat
	members []members.Member
	ours    []*orders.Agent
	leaders []int // who led, each time that it was another
	calls   uint64
}

// end is one agent's end among the others.
type end struct {
	r *rig
	i int
}

func (e end) View() (members.View, time.Time) {
	return members.View{Self: e.r.members[e.i].ID, Converged: true, Members: slices.Clone(e.r.members)}, time.Time{}
}

func (e end) Say(to members.ID, w peers.Word) error {
	for k, m := range e.r.members {
		if m.ID == to {
			e.r.seats[k].Hear(e.r.members[e.i].ID, w)
		}
	}
	return nil
}

func (e end) Wish(string, []string)          {}
func (e end) Publish(orders string)          { e.r.members[e.i].Orders = orders }
func (e end) Set(change func(*members.Info)) { change(&e.r.members[e.i].Info) }

// newRig makes n seats; the clock of the one with number i is so many ticks ahead.
func newRig(t *testing.T, ahead ...int) *rig {
	r := &rig{t: t}
	var places []work.MachineSpec
	for i := range ahead {
		r.members = append(r.members, members.Member{ID: members.ID{Name: fmt.Sprint("n", i), Incarnation: 1}, State: members.Alive,
			Info: members.Info{Machine: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%3), Role: "agent", Process: "ready"}})
		places = append(places, work.MachineSpec{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%3)})
	}
	bounds := work.DefaultBounds()
	bounds.AgentShare = 0.5
	for i := range ahead {
		s, err := New(Options{Name: fmt.Sprint("n", i), Folder: t.TempDir(), Seats: 3, ReplaceAfter: 3 * time.Second, Tick: 20 * time.Millisecond, Seed: uint64(i) + 1,
			Fleet: end{r, i}, Log: slog.New(slog.DiscardHandler), Sight: func(members.View) work.Observation { return work.Observation{Specs: places, Bounds: bounds} }})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.disk.Close() })
		r.seats = append(r.seats, s)
		ours, err := orders.New(fmt.Sprint("h", i), nil)
		if err != nil {
			t.Fatal(err)
		}
		r.ours = append(r.ours, ours)
	}
	for i, n := range ahead {
		for range n {
			r.seats[i].tick()
		}
	}
	return r
}

// hear has all take what has been said, until nothing more is.
func (r *rig) hear() {
	for again := true; again; {
		again = false
		for _, s := range r.seats {
			for len(s.in) > 0 {
				in := <-s.in
				s.take(&in)
				s.carry()
				again = true
			}
		}
	}
}

func (r *rig) step() {
	for i, s := range r.seats {
		s.tick()
		s.carry()
		r.hear()
		view, _ := end{r, i}.View()
		r.ours[i].Update(orders.PublishedLists(&view))
		r.members[i].Info.Process = map[bool]string{false: "ready", true: "evacuating"}[r.ours[i].OwnExcluded()]
		if st := s.machine.Status(); st.Leader == st.ID && (len(r.leaders) == 0 || r.leaders[len(r.leaders)-1] != i) {
			r.leaders = append(r.leaders, i)
		}
	}
}

// report is what the member that leads has; nil: none does.
func (r *rig) report() *Report {
	for _, s := range r.seats {
		if st := s.machine.Status(); st.Leader == st.ID {
			return s.report(Show)
		}
	}
	return nil
}

func (r *rig) until(what string, holds func(*Report) bool) {
	r.t.Helper()
	for range 300 { // 6 s of the clock that a process has
		if now := r.report(); now != nil && holds(now) {
			return
		}
		r.step()
	}
	now := r.report()
	r.t.Fatalf("never: %s; led %d times, at last by %v; %+v", what, len(r.leaders), r.leaders[max(len(r.leaders)-6, 0):], now)
}

// must makes a call at the member that leads until it counts.
func (r *rig) must(c Call) {
	r.t.Helper()
	r.calls++
	c.Token = r.calls | 1<<63
	for range 200 {
		var got *Answer
		for _, s := range r.seats {
			if st := s.machine.Status(); st.Leader == st.ID {
				s.call(&c, func(a Answer) { got = &a }, true)
				s.carry()
				r.hear()
				break
			}
		}
		for k := 0; got == nil && k < 2*patience; k++ {
			r.step()
		}
		if got != nil && got.Error == "" {
			return
		}
		if got != nil && !got.Again {
			r.t.Fatalf("%+v: %s", c, got.Error)
		}
		r.step()
	}
	r.t.Fatalf("%+v: never", c)
}

// The machines of all that sit are taken out one after the other, wherever in its count of ticks each member is as it begins to
// lead: what a member wanted when it led before, with another machine out, is not where it goes now.
func TestEachHasItsTurn(t *testing.T) {
	for _, ahead := range [][]int{{0, 1, 1, 3}, {0, 2, 3, 4}, {0, 3, 0, 1}, {0, 2, 4, 0}} {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) {
			r := newRig(t, ahead...)
			r.seats[0].look()
			if a := r.seats[0].found(); a.Error != "" {
				t.Fatal(a.Error)
			}
			three := func(now *Report) bool { return len(now.Voters) == 3 && len(now.Learners) == 0 }
			r.until("three sit", three)
			for turn := range 4 {
				now := r.report()
				name := now.Leader // whoever leads has to go: so all come to have led
				id := fmt.Sprint("r", turn)
				r.must(Call{Do: Ask, Ask: &work.Ask{ID: id, Machine: "h" + name[1:], Seconds: 60}})
				r.until(fmt.Sprintf("%s's turn", name), func(now *Report) bool { q := now.Find(id); return q != nil && q.Phase == "granted" })
				r.must(Call{Do: Take, ID: id, Permit: r.report().Find(id).Permit})
				r.must(Call{Do: Back, ID: id})
				r.until(id+" is done", func(now *Report) bool { return now.Find(id).Phase == "done" && three(now) })
			}
		})
	}
}
