// Package lifecycle says what an agent's process is (starting, ready, evacuating, handing over,
// ending), and it alone says what follows: what /ready answers, who may connect, which connections
// are closed. Operators' calls, signals and a second process are its inputs. It has no I/O and no
// clock.
//
// A Machine may be used by any goroutine; its lock is held for a few instructions, so whoever asks
// it is never kept waiting by requests.
package lifecycle

import (
	"errors"
	"sync"
)

// State is what a process is.
type State uint8

// The states.
const (
	Starting    State = iota // no server could be sent to yet
	Ready                    // at work
	Evacuating               // told to send its clients away; at work until they have gone
	HandingOver              // another process takes the connections that come
	Ending                   // told to end; what is held is answered
)

// String is the name of a state, as operators read it.
func (s State) String() string {
	return [...]string{"starting", "ready", "evacuating", "handing over", "ending"}[s]
}

// Why an input is turned down. The machine is then as it was.
var (
	ErrEnding     = errors.New("the process is ending")
	ErrHandedOver = errors.New("another process has taken over")
)

// Machine is one process's state.
type Machine struct {
	mu        sync.Mutex
	open      bool // it has begun to accept
	served    bool // a server could be sent to at some time since
	evacuated bool
	handed    bool // another process accepts in this one's place
	ending    bool
	changed   chan struct{}
}

// New is the machine of a process that starts.
func New() *Machine { return &Machine{changed: make(chan struct{})} }

// input changes the machine and wakes who waits for that.
func (m *Machine) input(do func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := [...]bool{m.open, m.evacuated, m.handed, m.ending}
	if err := do(); err != nil {
		return err
	}
	if was != [...]bool{m.open, m.evacuated, m.handed, m.ending} {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return nil
}

// Changed is closed when the machine next changes.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Open is for a process that begins to accept connections; until then it is starting, whatever
// servers there are.
func (m *Machine) Open() { _ = m.input(func() error { m.open = true; return nil }) }

// Evacuate has clients sent away. Again, or while the process ends, it changes nothing and is no
// error: they are being sent away.
func (m *Machine) Evacuate() error {
	return m.input(func() error {
		switch {
		case m.ending:
			return nil
		case m.handed:
			return ErrHandedOver
		}
		m.evacuated = true
		return nil
	})
}

// Rejoin ends an evacuation, at any moment of it; without one it changes nothing.
func (m *Machine) Rejoin() error {
	return m.input(func() error {
		switch {
		case m.ending:
			return ErrEnding
		case m.handed:
			return ErrHandedOver
		}
		m.evacuated = false
		return nil
	})
}

// HandOver leaves the connections that come to another process.
func (m *Machine) HandOver() error {
	return m.input(func() error {
		if m.ending {
			return ErrEnding
		}
		m.handed = true
		return nil
	})
}

// TakeBack is for another process that has ended: this one is alone again.
func (m *Machine) TakeBack() { _ = m.input(func() error { m.handed = false; return nil }) }

// End is the way to the process's end; there is none back.
func (m *Machine) End() { _ = m.input(func() error { m.ending = true; return nil }) }

// State is the state, where servers tells whether any can be sent to now.
func (m *Machine) State(servers bool) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.served = m.served || m.open && servers
	switch {
	case m.ending:
		return Ending
	case m.handed:
		return HandingOver
	case m.evacuated:
		return Evacuating
	case m.served:
		return Ready
	}
	return Starting
}

// Evacuated tells whether clients are to stay away, whichever process they ask.
func (m *Machine) Evacuated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuated
}

// Alone tells whether no other process has taken over.
func (m *Machine) Alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.handed
}

// AnswerReady is what /ready says to clients, where servers tells whether any can be sent to. They
// can't tell two processes from each other: while another has taken over, the answer is for both.
func (m *Machine) AnswerReady(servers bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open && servers && !m.evacuated && (!m.ending || m.handed)
}

// Serving is what this process says of itself to operators.
func (m *Machine) Serving(servers bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open && servers && !m.evacuated && !m.handed && !m.ending
}

// Accepts tells whether connections that come are this process's to accept. At its end it is for
// the listener's owner to say how long they still come.
func (m *Machine) Accepts() bool { return m.Alone() }

// Leaving tells whether connections are to end: each with its next answer, and between two requests.
func (m *Machine) Leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuated || m.handed || m.ending
}
