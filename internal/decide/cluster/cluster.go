// Package cluster defines the types of the list of servers. They are shared by the sources of a
// list (the roster's client, the simulator's wire) and by the packages that decide on it. They are
// plain values without locks.
package cluster

// Addr identifies a server: four bytes of address and two of port. Only its identity and its Hash are
// used, and it is sent back exactly as received.
type Addr [6]byte

// Hash returns the six bytes as one number, which is unique to the address and the same at every agent.
func (a Addr) Hash() uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}

// Health is the health of a server according to the list, or Draining if this agent must not send it new
// requests, as it may not connect to it yet or has excluded it.
type Health uint8

// The values of Health.
const (
	Draining Health = iota
	Ready
	Gone
)

// Entry is one line of the list of servers.
type Entry struct {
	Server  Addr
	Zone    int
	Cell    int
	Kind    int
	SinceMs float64 // clock time of the latest start in ms; 0: long ago
	Health  Health
	Weight  float64
	Window  float64 // maximum attempts in flight from one agent before the first is answered; 0: unknown
	Rank    float64 // sort key in this agent's order, lower is first; 0: not ranked
}

// ListKind is the kind of a list event: how it changes the current list.
type ListKind uint8

// The kinds of list events.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// Server is one line of a list with the address at which this agent reaches the server, which may
// differ between agents.
type Server struct {
	Entry
	Dial string // host:port, or another form of address that the transport accepts
}

// List is a complete list of servers, or a change of a list.
type List struct {
	Seq      int64 // version; increases with each list of the same roster
	Complete bool
	Servers  []Server
}
