package lifecycle

import (
	"errors"
	"testing"
)

// TestInputs checks the error and the next state for each input in each state.
func TestInputs(t *testing.T) {
	inputs := []struct {
		name string
		do   func(*Machine) error
	}{
		{"evacuate", (*Machine).Evacuate},
		{"rejoin", (*Machine).Rejoin},
		{"hand over", (*Machine).HandOver},
		{"take back", func(m *Machine) error { m.TakeBack(); return nil }},
		{"end", func(m *Machine) error { m.End(); return nil }},
	}
	for _, c := range []struct {
		from string
		way  []int // indices of the inputs that lead to the state
		to   [5]State
		errs [5]error
	}{
		{"ready", nil, [5]State{Evacuating, Ready, HandingOver, Ready, Ending}, [5]error{}},
		{"evacuating", []int{0}, [5]State{Evacuating, Ready, HandingOver, Evacuating, Ending}, [5]error{}},
		{"handing over", []int{2}, [5]State{HandingOver, HandingOver, HandingOver, Ready, Ending}, [5]error{ErrHandedOver, ErrHandedOver}},
		{"handing over in a drain", []int{0, 2}, [5]State{HandingOver, HandingOver, HandingOver, Evacuating, Ending}, [5]error{ErrHandedOver, ErrHandedOver}},
		{"ending", []int{4}, [5]State{Ending, Ending, Ending, Ending, Ending}, [5]error{nil, ErrEnding, ErrEnding}},
		{"ending after a hand-over", []int{2, 4}, [5]State{Ending, Ending, Ending, Ending, Ending}, [5]error{nil, ErrEnding, ErrEnding}},
	} {
		for i, in := range inputs {
			m := New()
			m.Open()
			m.State(true)
			for _, w := range c.way {
				if err := inputs[w].do(m); err != nil {
					t.Fatal(err)
				}
			}
			before, woken := m.State(true), m.Changed()
			if err := in.do(m); !errors.Is(err, c.errs[i]) {
				t.Errorf("%s, %s: %v, want %v", c.from, in.name, err, c.errs[i])
			}
			if got := m.State(true); got != c.to[i] {
				t.Errorf("%s, %s: %v, want %v", c.from, in.name, got, c.to[i])
			}
			if before != m.State(true) {
				select {
				case <-woken:
				default:
					t.Errorf("%s, %s: the channel of Changed was not closed", c.from, in.name)
				}
			}
		}
	}
}

func TestAnswersByState(t *testing.T) {
	type follows struct{ ready, serving, accepts, leaving bool }
	for _, c := range []struct {
		name    string
		way     func(*Machine)
		servers bool
		want    follows
	}{
		{"no server", func(*Machine) {}, false, follows{accepts: true}},
		{"ready", func(*Machine) {}, true, follows{ready: true, serving: true, accepts: true}},
		{"evacuating", func(m *Machine) { m.Evacuate() }, true, follows{accepts: true, leaving: true}},
		{"back", func(m *Machine) { m.Evacuate(); m.Rejoin() }, true, follows{ready: true, serving: true, accepts: true}},
		{"handing over", func(m *Machine) { m.HandOver() }, true, follows{ready: true, leaving: true}},
		{"handed over in a drain", func(m *Machine) { m.Evacuate(); m.HandOver() }, true, follows{leaving: true}},
		{"ending", func(m *Machine) { m.End() }, true, follows{accepts: true, leaving: true}},
		{"ending, another at work", func(m *Machine) { m.HandOver(); m.End() }, true, follows{ready: true, leaving: true}},
	} {
		m := New()
		m.Open()
		c.way(m)
		if got := (follows{m.AnswerReady(c.servers), m.Serving(c.servers), m.Accepts(), m.Leaving()}); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	m := New()
	if m.State(true) != Starting || m.AnswerReady(true) || m.Serving(true) {
		t.Error("a process is ready that doesn't accept connections")
	}
	if m.Open(); m.State(false) != Starting {
		t.Error("a process is ready that never had a server")
	}
}
