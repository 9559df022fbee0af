package replication

import (
	"cmp"
	"slices"
	"time"
)

// joiner is a machine that asks to become a member.
type joiner struct {
	Member
	firstActive time.Duration // first heard
	lastActive  time.Duration // last heard
	confirmed   bool          // answered a heartbeat under this identity
}

// memberPlan is the set of members that the next view should have.
type memberPlan struct {
	members []Member
	changed bool
	urgent  bool // a member that is departing goes out: it won't wait
}

// joining lists the machines to become members, by address.
func (m *Machine) joining() []Member {
	var js []Member
	for a, j := range m.primary.joiners {
		if m.now-j.lastActive >= m.opt.ElectionTimeout {
			if m.now-j.lastActive >= m.opt.MemberTimeout {
				delete(m.primary.joiners, a)
			}
			continue
		}
		if j.confirmed && !m.view.has(j.ID) {
			js = append(js, j.Member)
		}
	}
	sortMembers(js)
	return js
}

// minMembers is the size below which no member is dropped: after the loss of all that may be lost, a majority of so
// many is left, and a lost member that comes back with its vote may be needed.
func (m *Machine) minMembers() int { return max(3, 2*m.opt.Tolerance.Replicas()-1) }

// nextMembers plans the members of the next view. Only the primary changes them (a machine that takes over doesn't know
// who is unresponsive): a machine that lost its disk replaces its older identity, joiners come in, members that are
// departing or unresponsive go out. A majority of the members decides the next view with all its members, so the plan
// may change several at once, unlike raft's single-server change; what it must keep is a quorum of the new members
// among machines that answer without the joiners.
func (m *Machine) nextMembers() memberPlan {
	plan := memberPlan{members: slices.Clone(m.view.Members)}
	if !m.primary.active {
		return plan
	}
	waiting := plan.replaceOldIdentities(m.joining())
	waiting = m.replaceAbsent(&plan, waiting)
	m.grow(&plan, waiting)
	m.removeAbsent(&plan)
	sortMembers(plan.members)
	return plan
}

// replaceOldIdentities puts joiners in the places of their addresses' older identities and returns the others.
func (plan *memberPlan) replaceOldIdentities(joiners []Member) []Member {
	return slices.DeleteFunc(joiners, func(j Member) bool {
		i := slices.IndexFunc(plan.members, func(o Member) bool { return o.Addr == j.Addr })
		if i < 0 {
			return false
		}
		plan.members[i], plan.changed = j, true
		return true
	})
}

// replaceAbsent puts joiners in the places of members that are departing or unresponsive, and returns the others. A
// joiner that came as one more beside a lost member would raise the majority and be needed for it: the set would be
// lost with its disk.
func (m *Machine) replaceAbsent(plan *memberPlan, joiners []Member) []Member {
	if len(plan.members) < m.minMembers() {
		return joiners
	}
	return slices.DeleteFunc(joiners, func(j Member) bool {
		for _, o := range m.absent(plan.members, m.opt.ElectionTimeout) {
			swapped := append(without(plan.members, o), j)
			if m.reducesTolerance(plan.members, swapped) {
				continue
			}
			plan.members, plan.changed = swapped, true
			plan.urgent = plan.urgent || m.departsAsWitness(o.ID)
			return true
		}
		return false
	})
}

// grow admits as many joiners as may come, those first whose zone has the fewest members. The others wait.
func (m *Machine) grow(plan *memberPlan, joiners []Member) {
	joiners = balanceZones(plan.members, joiners)
	for n := len(joiners); n > 0; n-- {
		if m.canGrow(plan.members, joiners[:n]) {
			plan.members, plan.changed = append(plan.members, joiners[:n]...), true
			return
		}
	}
}

// canGrow reports whether joiners may come as so many more members: without them a majority of the larger set must be
// there, and it must tolerate what the smaller one does. Where the majority rises each joiner must have been heard for
// a while, so that who is unresponsive by now is known to be, and must have been heard just now.
func (m *Machine) canGrow(members, joiners []Member) bool {
	grown := append(slices.Clone(members), joiners...)
	switch {
	case len(grown) > maxMembers:
		return false
	case len(members) < m.minMembers():
		return true
	case m.reducesTolerance(members, grown):
		return false
	case quorumSize(len(grown)) == quorumSize(len(members)):
		return true
	}
	unsure := func(j Member) bool {
		joiner := m.primary.joiners[j.Addr]
		return m.now-joiner.firstActive < m.opt.ElectionTimeout || m.now-joiner.lastActive > 2*m.opt.HeartbeatInterval
	}
	return !slices.ContainsFunc(joiners, unsure) && m.countPresent(members) >= quorumSize(len(grown))
}

// reducesTolerance reports whether the members tolerate the required losses before a change and not after it.
func (m *Machine) reducesTolerance(before, after []Member) bool {
	return m.opt.Tolerance.toleratedBy(before) && !m.opt.Tolerance.toleratedBy(after)
}

// removeAbsent takes out of the plan members that are departing or were unresponsive for MemberTimeout, where that
// lowers the quorum (TestUnresponsiveMembersStay).
func (m *Machine) removeAbsent(plan *memberPlan) {
	m.removeMembers(plan, m.absent(plan.members, m.opt.MemberTimeout), m.minMembers())
	departing := slices.DeleteFunc(slices.Clone(plan.members), func(o Member) bool { return !m.departsAsWitness(o.ID) })
	m.removeMembers(plan, departing, 2*m.opt.Tolerance.Replicas()-1)
}

// removeMembers takes the first of these members out of the plan, down to so many, where that lowers the majority.
func (m *Machine) removeMembers(plan *memberPlan, absent []Member, least int) {
	absent = absent[:max(0, min(len(absent), len(plan.members)-least))]
	rest := without(plan.members, absent...)
	if quorumSize(len(rest)) == quorumSize(len(plan.members)) || m.reducesTolerance(plan.members, rest) {
		return
	}
	plan.members, plan.changed = rest, true
	plan.urgent = plan.urgent || slices.ContainsFunc(absent, func(o Member) bool { return m.departsAsWitness(o.ID) })
}

// absent lists those of the members that are departing or were unresponsive for so long: the former first, then by how
// long they have been so.
func (m *Machine) absent(members []Member, timeout time.Duration) []Member {
	var absent []Member
	for _, o := range members {
		if o.ID == m.identity.ID || !m.view.has(o.ID) {
			continue
		}
		at, ok := m.peers.lastActive[o.ID]
		if m.departsAsWitness(o.ID) || !ok || m.now-at >= timeout {
			absent = append(absent, o)
		}
	}
	slices.SortStableFunc(absent, func(a, b Member) int {
		if leaves := m.departsAsWitness(a.ID); leaves != m.departsAsWitness(b.ID) {
			if leaves {
				return -1
			}
			return 1
		}
		return cmp.Compare(m.peers.lastActive[a.ID], m.peers.lastActive[b.ID])
	})
	return absent
}

// departsAsWitness reports whether a member is departing and holds no record of the view. One that holds it first
// becomes a witness: whoever is left out drops its record, and by then the holders of the next view must know of it.
func (m *Machine) departsAsWitness(id ID) bool { return m.peers.departing[id] && m.view.rank(id) < 0 }

// countPresent counts the members of the view among these that answer and stay.
func (m *Machine) countPresent(members []Member) int {
	n := 0
	for _, o := range members {
		if m.view.has(o.ID) && m.alive(o.ID) && !m.peers.departing[o.ID] {
			n++
		}
	}
	return n
}

// without are the members but for some.
func without(members []Member, some ...Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(o Member) bool { return slices.Contains(some, o) })
}

// balanceZones orders joiners so that each in turn stands in the zone with the fewest members.
func balanceZones(members, joiners []Member) []Member {
	inZone := map[[2]string]int{}
	for _, o := range members {
		inZone[o.zone()]++
	}
	rest := slices.Clone(joiners)
	var ordered []Member
	for len(rest) > 0 {
		i := 0
		for k := range rest {
			if inZone[rest[k].zone()] < inZone[rest[i].zone()] {
				i = k
			}
		}
		inZone[rest[i].zone()]++
		ordered = append(ordered, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return ordered
}
