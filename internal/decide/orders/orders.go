// Package orders decides at one agent which servers it excludes from balancing because their machines are
// taken out for maintenance. It compares the exclusion lists that members of the council publish, and checks
// the result against the agent's own endpoint list. It does not decide which machines are taken out: package
// work does. docs/design/work.md explains the design.
//
// The package does no I/O and reads no clock. An Agent isn't safe for concurrent use: only the goroutine that
// drives it may call it.
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

// MaxMachines is the maximum number of machines on a list.
const MaxMachines = 100

// List is an exclusion list as published by one member of the council: the machines that get no requests.
type List struct {
	_        struct{} `cbor:",toarray"`
	Council  uint64   // the council's ID
	Seat     uint64   // of the publishing member
	Version  uint64
	Seats    uint64   // number of seats of the council
	IsLeader bool     // the publishing member leads the council
	Machines []uint64 // MachineHash of their names, sorted
}

// MachineHash returns the hash of a machine's name that lists contain.
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

// Encode returns the CBOR encoding of a list.
func (l *List) Encode() string {
	text, err := cbor.Marshal(l)
	if err != nil {
		panic(err) // values only
	}
	return string(text)
}

// Decode decodes a list. It returns an error if the list is invalid.
func Decode(text string) (l List, err error) {
	if err := dec.Unmarshal([]byte(text), &l); err != nil {
		return l, err
	}
	switch {
	case l.Seat == 0 || l.Seats == 0 || l.Seats > 9:
		return l, errors.New("orders: seat 0, or number of seats not from 1 to 9")
	case len(l.Machines) > MaxMachines, !slices.IsSorted(l.Machines),
		len(slices.Compact(slices.Clone(l.Machines))) != len(l.Machines):
		return l, errors.New("orders: machines not sorted, repeated or too many")
	}
	return l, nil
}

// PublishedLists returns the valid lists that the running members of a view publish. A list counts only if
// its seat is the seat of the member that publishes it.
func PublishedLists(v *members.View) (lists []List) {
	for i := range v.Members {
		m := &v.Members[i]
		if m.Orders == "" || m.State == members.Dead || m.State == members.Left {
			continue
		}
		if l, err := Decode(m.Orders); err == nil && l.Seat == m.Info.Seat {
			lists = append(lists, l)
		}
	}
	return lists
}

// MachineServers is a machine with its servers, as configured in the operator's file.
type MachineServers struct {
	Name    string
	Servers []cluster.Addr
}

// Agent holds the exclusion list that is in force at one agent.
type Agent struct {
	ownMachine  string
	machines    map[uint64]MachineServers
	agreed      List // the list that a majority of the seats published
	ownExcluded bool // ownMachine is on the agreed list
}

// New returns the Agent for an agent on the machine own. It returns an error if two machines have the same
// name or name hash.
func New(own string, places []MachineServers) (*Agent, error) {
	m := &Agent{ownMachine: own, machines: map[uint64]MachineServers{}}
	for _, p := range places {
		if o, twice := m.machines[MachineHash(p.Name)]; twice {
			return nil, fmt.Errorf("machine %q: twice, or with the same name hash as %q", p.Name, o.Name)
		}
		m.machines[MachineHash(p.Name)] = p
	}
	return m, nil
}

// Update processes the lists that members publish now, and reports whether the agreed list has changed. A list
// is agreed on when a majority of its council's seats publish the same list, with one vote per seat. A list
// with an older version is never agreed on.
func (m *Agent) Update(lists []List) bool {
	type key struct {
		council, version, seats uint64
		machines                string
	}
	seats := map[key]map[uint64]bool{}
	best := m.agreed
	for _, l := range lists {
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

// OwnExcluded reports whether the agent's own machine is on the agreed list, so that the agent has to
// evacuate it.
func (m *Agent) OwnExcluded() bool { return m.ownExcluded }

// Exclusion is the effect of the agreed list at this agent.
type Exclusion struct {
	Servers []cluster.Addr // servers that get no requests, sorted by hash
	Version uint64         // version to acknowledge once Servers are excluded; 0: none
	Reason  string         // why the version must not be acknowledged; empty: it may be
}

// Apply returns the effect of the agreed list on the given servers. It never excludes more than half of the
// ready servers. A list with a machine that is not configured at this agent must not be acknowledged.
func (m *Agent) Apply(list []cluster.Server) Exclusion {
	ready := map[cluster.Addr]bool{}
	for _, s := range list {
		if s.Health == cluster.Ready {
			ready[s.Server] = true
		}
	}
	v := Exclusion{Version: m.agreed.Version}
	most, unknown, tooLarge := len(ready)/2, 0, []string{}
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
			tooLarge = append(tooLarge, p.Name)
			continue
		}
		most -= n
		v.Servers = append(v.Servers, p.Servers...)
	}
	slices.SortFunc(v.Servers, func(a, b cluster.Addr) int { return cmp.Compare(a.Hash(), b.Hash()) })
	switch {
	case unknown > 0:
		v.Reason = fmt.Sprintf("%d machines on the council's list are not in this agent's file", unknown)
	case len(tooLarge) > 0:
		v.Reason = fmt.Sprintf("without %s less than half of the ready servers would be left",
			strings.Join(tooLarge, ", "))
	}
	if v.Reason != "" {
		v.Version = 0
	}
	return v
}

// ExcludedMachines returns the sorted names of the machines on the agreed list. Machines that are not
// configured at this agent are left out.
func (m *Agent) ExcludedMachines() (names []string) {
	for _, h := range m.agreed.Machines {
		if p, known := m.machines[h]; known {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Leader returns the seat whose list claims leadership, and all seats that publish a list. leader is 0 if none
// or several claim it.
func Leader(lists []List) (leader uint64, seats []uint64) {
	all := map[uint64]bool{}
	for _, l := range lists {
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
