package replication

import (
	"cmp"
	"slices"
	"time"
)

// joiner is a machine that asks to become a member.
type joiner struct {
	Member
	firstActive time.Duration // when it was first heard from
	lastActive  time.Duration // when it was last heard from
	confirmed   bool          // answered a heartbeat under this identity
}

// memberPlan is the set of members that the next view should have.
type memberPlan struct {
	members []Member
	changed bool
	urgent  bool // a departing member is removed, which can't be postponed
}

// joining returns the joiners that may be admitted, by address, and drops those unresponsive for MemberTimeout.
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

// minMembers returns the size below which no member is removed. After the largest tolerated loss a majority of that
// many members remains, and a lost member that comes back may be needed for its vote.
func (m *Machine) minMembers() int { return max(3, 2*m.opt.Tolerance.Replicas()-1) }

// nextMembers plans the members of the next view. Only the primary changes them, as a machine that takes over doesn't
// know which members are unresponsive. A machine that lost its disk replaces its older identity, joiners are admitted,
// and departing or unresponsive members are removed. A majority of the current members decides the next view including
// all its members, so the plan may change several at once, unlike raft's single-server change. It must keep a quorum of
// the new members among the responsive machines that are not joiners.
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

// replaceOldIdentities replaces the older identities of the joiners' addresses and returns the other joiners.
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

// replaceAbsent replaces departing or unresponsive members by joiners, and returns the other joiners. A joiner that was
// added beside a lost member could raise the quorum and be needed for it, so that the loss of the joiner's disk would
// cost the quorum.
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

// grow adds as many joiners as allowed, in the order of balanceZones. The others wait.
func (m *Machine) grow(plan *memberPlan, joiners []Member) {
	joiners = balanceZones(plan.members, joiners)
	for n := len(joiners); n > 0; n-- {
		if m.canGrow(plan.members, joiners[:n]) {
			plan.members, plan.changed = append(plan.members, joiners[:n]...), true
			return
		}
	}
}

// canGrow reports whether the joiners may be added. Below minMembers they always may, up to maxMembers. Otherwise the
// larger set must tolerate the required losses if the smaller one does. Where the quorum rises, the responsive members
// must be a quorum of the larger set without the joiners, and each joiner must have been active for ElectionTimeout, so
// that unresponsive members are known as such by now, and within the last two heartbeat intervals.
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

// reducesTolerance reports whether the members tolerate the required losses before a change but not after it.
func (m *Machine) reducesTolerance(before, after []Member) bool {
	return m.opt.Tolerance.toleratedBy(before) && !m.opt.Tolerance.toleratedBy(after)
}

// removeAbsent removes members from the plan that are departing or were unresponsive for MemberTimeout, where that
// lowers the quorum (TestUnresponsiveMembersStay).
func (m *Machine) removeAbsent(plan *memberPlan) {
	m.removeMembers(plan, m.absent(plan.members, m.opt.MemberTimeout), m.minMembers())
	departing := slices.DeleteFunc(slices.Clone(plan.members), func(o Member) bool { return !m.departsAsWitness(o.ID) })
	m.removeMembers(plan, departing, 2*m.opt.Tolerance.Replicas()-1)
}

// removeMembers removes the first of the absent members from the plan, keeping at least the given number of members, if
// that lowers the quorum and doesn't reduce the tolerance.
func (m *Machine) removeMembers(plan *memberPlan, absent []Member, least int) {
	absent = absent[:max(0, min(len(absent), len(plan.members)-least))]
	rest := without(plan.members, absent...)
	if quorumSize(len(rest)) == quorumSize(len(plan.members)) || m.reducesTolerance(plan.members, rest) {
		return
	}
	plan.members, plan.changed = rest, true
	plan.urgent = plan.urgent || slices.ContainsFunc(absent, func(o Member) bool { return m.departsAsWitness(o.ID) })
}

// absent returns the members that are departing or were unresponsive for the given time: departing ones first, then the
// longest unresponsive.
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

// departsAsWitness reports whether a member is departing and doesn't hold the record of the view. A holder first
// becomes a witness: a removed machine drops its record, and by then the holders of the next view must know that view.
func (m *Machine) departsAsWitness(id ID) bool { return m.peers.departing[id] && m.view.rank(id) < 0 }

// countPresent counts the given members that belong to the view, are responsive and not departing.
func (m *Machine) countPresent(members []Member) int {
	n := 0
	for _, o := range members {
		if m.view.has(o.ID) && m.alive(o.ID) && !m.peers.departing[o.ID] {
			n++
		}
	}
	return n
}

// without returns the members except some.
func without(members []Member, some ...Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(o Member) bool { return slices.Contains(some, o) })
}

// balanceZones orders joiners so that each one is in the zone that has the fewest members, counting the joiners before
// it.
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
