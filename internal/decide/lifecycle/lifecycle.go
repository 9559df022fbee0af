// Package lifecycle is the state machine of an agent's process: starting, ready, evacuating, handing
// over, ending. It alone decides what follows from the state: the answer of /ready, whether connections
// are accepted, and which are closed. Its inputs are operators' calls, signals and the hand-over to a
// second process. It does no I/O and reads no clock.
//
// A Machine is safe for concurrent use. Its lock is held only for a few instructions, so callers never
// wait for requests.
package lifecycle

import (
	"errors"
	"sync"
)

// State is the state of a process.
type State uint8

// The states of a process.
const (
	Starting    State = iota // no server has been available yet
	Ready                    // serves requests
	Evacuating               // sends its clients away on an operator's call; serves until they have left
	HandingOver              // another process accepts new connections
	Ending                   // shuts down; requests in flight are still answered
)

// String returns the name of a state, as shown to operators.
func (s State) String() string {
	return [...]string{"starting", "ready", "evacuating", "handing over", "ending"}[s]
}

// Errors of inputs that the Machine rejects; its state is then unchanged.
var (
	ErrEnding     = errors.New("the process is ending")
	ErrHandedOver = errors.New("another process has taken over")
)

// Machine is the state machine of one process.
type Machine struct {
	mu         sync.Mutex
	accepting  bool // it has begun to accept connections
	hadServer  bool // a server has been available since then
	evacuated  bool
	handedOver bool // another process accepts connections in its place
	ending     bool
	changed    chan struct{}
}

// New returns the Machine of a process that is starting.
func New() *Machine { return &Machine{changed: make(chan struct{})} }

// update applies an input. If the state changes, it closes the channel that Changed has returned.
func (m *Machine) update(do func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := [...]bool{m.accepting, m.evacuated, m.handedOver, m.ending}
	if err := do(); err != nil {
		return err
	}
	if was != [...]bool{m.accepting, m.evacuated, m.handedOver, m.ending} {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return nil
}

// Changed returns a channel that is closed at the next change of the state.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Open notes that the process begins to accept connections. Until then it is Starting, even if servers
// are available.
func (m *Machine) Open() { _ = m.update(func() error { m.accepting = true; return nil }) }

// Evacuate begins to send clients away. If that is in progress already, or the process is ending, it
// changes nothing and returns no error.
func (m *Machine) Evacuate() error {
	return m.update(func() error {
		switch {
		case m.ending:
			return nil
		case m.handedOver:
			return ErrHandedOver
		}
		m.evacuated = true
		return nil
	})
}

// Rejoin ends an evacuation at any point. Without one it changes nothing.
func (m *Machine) Rejoin() error {
	return m.update(func() error {
		switch {
		case m.ending:
			return ErrEnding
		case m.handedOver:
			return ErrHandedOver
		}
		m.evacuated = false
		return nil
	})
}

// HandOver leaves new connections to another process.
func (m *Machine) HandOver() error {
	return m.update(func() error {
		if m.ending {
			return ErrEnding
		}
		m.handedOver = true
		return nil
	})
}

// TakeBack ends a hand-over because the other process has ended.
func (m *Machine) TakeBack() { _ = m.update(func() error { m.handedOver = false; return nil }) }

// End begins the shutdown of the process, which can't be revoked.
func (m *Machine) End() { _ = m.update(func() error { m.ending = true; return nil }) }

// State returns the state; servers reports whether any server is available now.
func (m *Machine) State(servers bool) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hadServer = m.hadServer || m.accepting && servers
	switch {
	case m.ending:
		return Ending
	case m.handedOver:
		return HandingOver
	case m.evacuated:
		return Evacuating
	case m.hadServer:
		return Ready
	}
	return Starting
}

// Evacuated reports whether clients are to stay away, from this process and from one that has taken over.
func (m *Machine) Evacuated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuated
}

// Alone reports whether no other process has taken over.
func (m *Machine) Alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.handedOver
}

// AnswerReady reports whether /ready answers clients that the agent is ready; servers reports whether any
// server is available. Clients can't distinguish two processes, so while another has taken over, the
// answer applies to both.
func (m *Machine) AnswerReady(servers bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepting && servers && !m.evacuated && (!m.ending || m.handedOver)
}

// Serving reports to operators whether this process itself accepts and serves requests.
func (m *Machine) Serving(servers bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepting && servers && !m.evacuated && !m.handedOver && !m.ending
}

// Accepts reports whether this process is to accept new connections. While it is ending, the listener's
// owner decides how long it still does.
func (m *Machine) Accepts() bool { return m.Alone() }

// Leaving reports whether connections are to be closed, each with its next response or while idle.
func (m *Machine) Leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuated || m.handedOver || m.ending
}
