// Package cluster holds the terms in which the list of servers is told, shared by those
// who bring a list (the roster's client, the simulator's wire) and the decisions made
// on it. It is values only: nothing here has an owner or a lock.
package cluster

// Addr names a server: four bytes of address and a port. It has no meaning
// beyond equality and is sent back exactly as it came.
type Addr [6]byte

// Hash is the address as a number, the same everywhere.
func (a Addr) Hash() uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}

// Health is what the list says of a server.
type Health uint8

// The list's words.
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
	SinceMs float64 // clock time of the latest start; 0: long past
	Health  Health
	Weight  float64
	Window  float64 // attempts that it may hold of one agent before any is answered; 0: not told
	Rank    float64 // its place in this agent's order, lower is first; 0: not ranked
}

// ListKind tells how a list event changes the list at hand.
type ListKind uint8

// The kinds of list events.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// Server is one line of a list with the address at which the agent reaches it, which may
// differ from one agent to the next.
type Server struct {
	Entry
	Dial string // host:port, or what else the transport takes
}

// List is a list of servers, or a change of one.
type List struct {
	Seq      int64 // its version; later ones are higher, but for another roster's
	Complete bool
	Servers  []Server
}
