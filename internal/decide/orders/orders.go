// Package orders settles at one agent which servers it leaves alone because their machines are taken out
// for work: what members of the council have told, held against each other and against the agent's own
// list. docs/design/work.md says why it is made so.
//
// There is no I/O and no clock here. A Machine belongs to whoever drives it.
package orders

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/members"
)

// MaxMachines bounds a list.
const MaxMachines = 100

// List is what a member of the council tells of the machines that are to be left alone.
type List struct {
	_        struct{} `cbor:",toarray"`
	Council  uint64
	Seat     uint64 // of who tells it
	Version  uint64
	Seats    uint64 // of the council
	IsLeader bool
	Machines []uint64 // Hash of their names, in order
}

// MachineHash is a machine's name as lists have it.
func MachineHash(machine string) uint64 { return xxhash.Sum64String(machine) }

var dec = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: MaxMachines + 8,
		MaxNestedLevels:  4,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode words a list.
func (l *List) Encode() string {
	text, err := cbor.Marshal(l)
	if err != nil {
		panic(err) // values only
	}
	return string(text)
}

// Decode reads one. What makes no sense is an error.
func Decode(text string) (l List, err error) {
	if err := dec.Unmarshal([]byte(text), &l); err != nil {
		return l, err
	}
	switch {
	case l.Seat == 0 || l.Seats == 0 || l.Seats > 9:
		return l, errors.New("orders: without a seat, or with too many")
	case len(l.Machines) > MaxMachines, !slices.IsSorted(l.Machines),
		len(slices.Compact(slices.Clone(l.Machines))) != len(l.Machines):
		return l, errors.New("orders: machines twice, out of order or too many")
	}
	return l, nil
}

// PublishedLists is the lists that a view holds, each of somebody who sits where he says.
func PublishedLists(v *members.View) (told []List) {
	for i := range v.Members {
		m := &v.Members[i]
		if m.Orders == "" || m.State == members.Dead || m.State == members.Left {
			continue
		}
		if l, err := Decode(m.Orders); err == nil && l.Seat == m.Info.Seat {
			told = append(told, l)
		}
	}
	return told
}

// MachineServers is a machine and its servers, as the operator's file has them.
type MachineServers struct {
	Name    string
	Servers []cluster.Addr
}

// Agent is one agent's part.
type Agent struct {
	ownMachine  string
	machines    map[uint64]MachineServers
	agreed      List // that a majority told
	ownExcluded bool // its own machine is on it
}

// New makes the part of an agent on a machine. Names that can't be told apart are an error.
func New(own string, places []MachineServers) (*Agent, error) {
	m := &Agent{ownMachine: own, machines: map[uint64]MachineServers{}}
	for _, p := range places {
		if o, twice := m.machines[MachineHash(p.Name)]; twice {
			return nil, fmt.Errorf("machine %q: twice, or not to be told from %q", p.Name, o.Name)
		}
		m.machines[MachineHash(p.Name)] = p
	}
	return m, nil
}

// Update takes what members tell now; it reports whether another list has been agreed on. A list counts
// that most of the seats which it speaks of tell alike, each seat once, and never an older one.
func (m *Agent) Update(told []List) bool {
	type key struct {
		council, version, seats uint64
		machines                string
	}
	seats := map[key]map[uint64]bool{}
	best := m.agreed
	for _, l := range told {
		k := key{l.Council, l.Version, l.Seats, fmt.Sprint(l.Machines)}
		if seats[k] == nil {
			seats[k] = map[uint64]bool{}
		}
		if seats[k][l.Seat] = true; uint64(len(seats[k])) >= l.Seats/2+1 && l.Version > best.Version {
			best = l
		}
	}
	changed := best.Version != m.agreed.Version
	m.agreed = best
	m.ownExcluded = slices.Contains(best.Machines, MachineHash(m.ownMachine))
	return changed
}

// OwnExcluded tells whether the agent's own machine is to be left.
func (m *Agent) OwnExcluded() bool { return m.ownExcluded }

// Exclusion is what follows from the list that is agreed on.
type Exclusion struct {
	Servers []cluster.Addr // servers that get nothing, in order
	Version uint64         // that may be acknowledged once Alone is in force; 0: none
	Reason  string         // why it may not be; empty: it may
}

// Apply settles that for the servers that the roster tells. More than half of those that are ready are
// never left alone, and a machine that the agent does not know is not acknowledged.
func (m *Agent) Apply(list []cluster.Server) Exclusion {
	ready := map[cluster.Addr]bool{}
	for _, s := range list {
		if s.Health == cluster.Ready {
			ready[s.Server] = true
		}
	}
	v := Exclusion{Version: m.agreed.Version}
	most, unknown, kept := len(ready)/2, 0, []string{}
	if m.agreed.Council == 0 {
		v.Version = 0
	}
	places := make([]MachineServers, 0, len(m.agreed.Machines))
	for _, h := range m.agreed.Machines {
		p, known := m.machines[h]
		if !known {
			unknown++
			continue
		}
		places = append(places, p)
	}
	slices.SortFunc(places, func(a, b MachineServers) int { return cmp.Compare(a.Name, b.Name) })
	for _, p := range places {
		n := 0
		for _, s := range p.Servers {
			if ready[s] {
				n++
			}
		}
		if n > most {
			kept = append(kept, p.Name)
			continue
		}
		most -= n
		v.Servers = append(v.Servers, p.Servers...)
	}
	slices.SortFunc(v.Servers, func(a, b cluster.Addr) int { return cmp.Compare(a.Hash(), b.Hash()) })
	switch {
	case unknown > 0:
		v.Reason = fmt.Sprintf("%d machines on the council's list are not in this agent's file", unknown)
	case len(kept) > 0:
		v.Reason = fmt.Sprintf("without %s less than half of the ready servers would be left", strings.Join(kept, ", "))
	}
	if v.Reason != "" {
		v.Version = 0
	}
	return v
}

// ExcludedMachines is the names on the list that is agreed on, in order; what is not known has none.
func (m *Agent) ExcludedMachines() (names []string) {
	for _, h := range m.agreed.Machines {
		if p, known := m.machines[h]; known {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Leader is the seat that leads by what members tell, and all that tell anything; 0: nobody says so, or
// several do.
func Leader(told []List) (leader uint64, seats []uint64) {
	all := map[uint64]bool{}
	for _, l := range told {
		if all[l.Seat] = true; l.IsLeader {
			if leader != 0 && leader != l.Seat {
				leader = 1<<64 - 1
			} else {
				leader = l.Seat
			}
		}
	}
	if leader == 1<<64-1 {
		leader = 0
	}
	return leader, slices.Sorted(maps.Keys(all))
}
