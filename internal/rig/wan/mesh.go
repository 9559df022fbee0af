package wan

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
)

// Mesh is the network among many: a relay before each member, that knows who dials by his address.
// Each pair, in the order in which it dials, is a Net of its own.
type Mesh struct {
	Addrs []string // where to dial each member

	lns  []net.Listener
	nets [][]*Net // by who dials, by who is dialled
	wg   sync.WaitGroup
}

// NewMesh starts relays to members that listen at targets, each on a loopback address of its own,
// from which it dials too.
func NewMesh(targets []string, seed uint64) (*Mesh, error) {
	m := &Mesh{}
	var hosts []string
	for i, target := range targets {
		host, _, err := net.SplitHostPort(target)
		if err != nil {
			return nil, err
		}
		if slices.Contains(hosts, host) {
			return nil, fmt.Errorf("mesh: %s twice", host)
		}
		hosts = append(hosts, host)
		var row []*Net
		for j := range targets {
			row = append(row, &Net{target: targets[j], rng: rand.New(rand.NewPCG(seed, uint64(i)<<32|uint64(j))),
				conns:  map[*pair]bool{},
				closed: make(chan struct{}), cutAt: [2]int64{-1, -1}})
		}
		m.nets = append(m.nets, row)
	}
	for j := range targets {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			m.Close()
			return nil, err
		}
		m.lns = append(m.lns, ln)
		m.Addrs = append(m.Addrs, ln.Addr().String())
		m.wg.Go(func() { m.accept(ln, j, hosts) })
	}
	return m, nil
}

func (m *Mesh) accept(ln net.Listener, to int, hosts []string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		from := slices.Index(hosts, host)
		if from < 0 {
			c.Close() // none of the members
			continue
		}
		m.wg.Go(func() { m.nets[from][to].relay(c) })
	}
}

// Pair is the network for what i dials to j.
func (m *Mesh) Pair(i, j int) *Net { return m.nets[i][j] }

// Each does something to the networks of a pair, whoever dials.
func (m *Mesh) Each(i, j int, do func(n *Net, there, back Way)) {
	do(m.nets[i][j], There, Back)
	do(m.nets[j][i], Back, There)
}

// Hole lets nothing through between two members, and tells neither.
func (m *Mesh) Hole(i, j int) {
	m.Each(i, j, func(n *Net, there, back Way) {
		n.Silent(true)
		n.Stall(there, back)
	})
}

// OneWay lets nothing through from i to j, of connections that are up and of new ones.
func (m *Mesh) OneWay(i, j int) {
	m.Each(i, j, func(n *Net, there, _ Way) { n.Stall(there) })
}

// Heal ends the faults of a pair. What they held never comes: its connections break.
func (m *Mesh) Heal(i, j int) {
	m.Each(i, j, func(n *Net, there, back Way) {
		n.Silent(false)
		n.Cut()
		n.Move(there, back)
	})
}

// Split puts holes between all members of different parts, and heals all pairs of one; parts
// has a number for each member.
func (m *Mesh) Split(parts ...int) {
	for i := range parts {
		for j := range i {
			if parts[i] != parts[j] {
				m.Hole(i, j)
			} else if m.nets[i][j].faulty() || m.nets[j][i].faulty() {
				m.Heal(i, j)
			}
		}
	}
}

func (n *Net) faulty() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent || n.stall[There] != nil || n.stall[Back] != nil
}

// Close ends all relays and connections, and waits for their goroutines.
func (m *Mesh) Close() {
	for _, ln := range m.lns {
		ln.Close()
	}
	for _, row := range m.nets {
		for _, n := range row {
			close(n.closed)
			n.Cut()
		}
	}
	m.wg.Wait()
}
