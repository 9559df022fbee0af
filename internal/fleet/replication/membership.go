package replication

import (
	"cmp"
	"slices"
	"time"
)

// joiner is a machine that asks to become a member.
type joiner struct {
	Member
	since     time.Duration // first heard
	heard     time.Duration // last heard
	confirmed bool          // answered a heartbeat under this identity
}

// memberPlan is the set of members that the next view should have.
type memberPlan struct {
	members []Member
	changed bool
	urgent  bool // a member that is about to end goes out: it won't wait
}

// joining lists the machines to be taken in, by address.
func (m *Machine) joining() []Member {
	var js []Member
	for a, j := range m.joiners {
		if m.now-j.heard >= m.opt.SuspectAfter {
			if m.now-j.heard >= m.opt.ForgetAfter {
				delete(m.joiners, a)
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

// leastMembers is the size below which no member is dropped: after the loss of all that may be lost, a majority of so
// many is left, and a lost member that comes back with its vote may be needed.
func (m *Machine) leastMembers() int { return max(3, 2*m.opt.Survive.Copies()-1) }

// nextMembers plans the members of the next view. Only the primary changes them: a machine that lost its disk replaces its
// older identity, joiners come in, members that leave or are silent go out. The decided view is replaced as a whole
// by a majority of its members, so the plan may change several at once; what it must keep is a majority of the new
// set among machines that live without the joiners.
func (m *Machine) nextMembers() memberPlan {
	plan := memberPlan{members: slices.Clone(m.view.Members)}
	if !m.led {
		return plan
	}
	waiting := plan.renew(m.joining())
	waiting = m.swapAbsent(&plan, waiting)
	m.grow(&plan, waiting)
	m.dropAbsent(&plan)
	sortMembers(plan.members)
	return plan
}

// renew puts joiners in the places of their addresses' older identities and returns the others.
func (plan *memberPlan) renew(joiners []Member) []Member {
	return slices.DeleteFunc(joiners, func(j Member) bool {
		i := slices.IndexFunc(plan.members, func(o Member) bool { return o.Addr == j.Addr })
		if i < 0 {
			return false
		}
		plan.members[i], plan.changed = j, true
		return true
	})
}

// swapAbsent puts joiners in the places of members that leave or are silent, and returns the others. A joiner that came as
// one more beside a lost member would raise the majority and be needed for it: the set would be lost with its disk.
func (m *Machine) swapAbsent(plan *memberPlan, joiners []Member) []Member {
	if len(plan.members) < m.leastMembers() {
		return joiners
	}
	return slices.DeleteFunc(joiners, func(j Member) bool {
		for _, o := range m.absent(plan.members, m.opt.SuspectAfter) {
			swapped := append(without(plan.members, o), j)
			if m.bearsLess(plan.members, swapped) {
				continue
			}
			plan.members, plan.changed = swapped, true
			plan.urgent = plan.urgent || m.leavesAsWitness(o.ID)
			return true
		}
		return false
	})
}

// grow takes in as many joiners as may come, those first whose zone has the fewest members. The others wait.
func (m *Machine) grow(plan *memberPlan, joiners []Member) {
	joiners = byNeed(plan.members, joiners)
	for n := len(joiners); n > 0; n-- {
		if m.mayGrow(plan.members, joiners[:n]) {
			plan.members, plan.changed = append(plan.members, joiners[:n]...), true
			return
		}
	}
}

// mayGrow reports whether joiners may come as so many more members: without them a majority of the larger set must be
// there, and it must bear what the smaller one does. Where the majority rises each joiner must have been heard for a
// while, so that who is silent by now is known to be, and must have been heard just now.
func (m *Machine) mayGrow(members, joiners []Member) bool {
	grown := append(slices.Clone(members), joiners...)
	switch {
	case len(grown) > maxMembers:
		return false
	case len(members) < m.leastMembers():
		return true
	case m.bearsLess(members, grown):
		return false
	case majorityOf(len(grown)) == majorityOf(len(members)):
		return true
	}
	unsure := func(j Member) bool {
		joiner := m.joiners[j.Addr]
		return m.now-joiner.since < m.opt.SuspectAfter || m.now-joiner.heard > 2*m.opt.BeatEvery
	}
	return !slices.ContainsFunc(joiners, unsure) && m.present(members) >= majorityOf(len(grown))
}

// bearsLess reports whether a change of the members takes from them that they bear what is to be survived.
func (m *Machine) bearsLess(before, after []Member) bool {
	return m.opt.Survive.borneBy(before) && !m.opt.Survive.borneBy(after)
}

// dropAbsent takes out of the plan those that leave or were silent for ForgetAfter, where that lowers the majority.
func (m *Machine) dropAbsent(plan *memberPlan) {
	m.drop(plan, m.absent(plan.members, m.opt.ForgetAfter), m.leastMembers())
	leaving := slices.DeleteFunc(slices.Clone(plan.members), func(o Member) bool { return !m.leavesAsWitness(o.ID) })
	m.drop(plan, leaving, 2*m.opt.Survive.Copies()-1)
}

// drop takes the first of these members out of the plan, down to so many, where that lowers the majority.
func (m *Machine) drop(plan *memberPlan, absent []Member, least int) {
	absent = absent[:max(0, min(len(absent), len(plan.members)-least))]
	rest := without(plan.members, absent...)
	if majorityOf(len(rest)) == majorityOf(len(plan.members)) || m.bearsLess(plan.members, rest) {
		return
	}
	plan.members, plan.changed = rest, true
	plan.urgent = plan.urgent || slices.ContainsFunc(absent, func(o Member) bool { return m.leavesAsWitness(o.ID) })
}

// absent lists members of the view among these that are about to end or were silent for so long: the former first,
// then by the length of their silence.
func (m *Machine) absent(members []Member, silence time.Duration) []Member {
	var absent []Member
	for _, o := range members {
		if o.ID == m.id.ID || !m.view.has(o.ID) {
			continue
		}
		at, ok := m.heard[o.ID]
		if m.leavesAsWitness(o.ID) || !ok || m.now-at >= silence {
			absent = append(absent, o)
		}
	}
	slices.SortStableFunc(absent, func(a, b Member) int {
		if leaves := m.leavesAsWitness(a.ID); leaves != m.leavesAsWitness(b.ID) {
			if leaves {
				return -1
			}
			return 1
		}
		return cmp.Compare(m.heard[a.ID], m.heard[b.ID])
	})
	return absent
}

// leavesAsWitness reports whether a member is about to end and holds no record of the view. One that holds it first
// becomes a witness: whoever is left out drops its record, and by then the holders of the next view must know of it.
func (m *Machine) leavesAsWitness(id ID) bool { return m.leavers[id] && m.view.rank(id) < 0 }

// present counts the members of the view among these that answer and stay.
func (m *Machine) present(members []Member) int {
	n := 0
	for _, o := range members {
		if m.view.has(o.ID) && m.alive(o.ID) && !m.leavers[o.ID] {
			n++
		}
	}
	return n
}

// without are the members but for some.
func without(members []Member, some ...Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(o Member) bool { return slices.Contains(some, o) })
}

// byNeed orders joiners so that each in turn stands in the zone with the fewest members.
func byNeed(members, joiners []Member) []Member {
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
