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
	for _, j := range m.joining() {
		m.admit(&plan, j)
	}
	m.dropAbsent(&plan)
	sortMembers(plan.members)
	return plan
}

// admit takes a joiner into the plan: in the place of its address's older identity, in the place of a member that is
// silent, or as one more where the majority that this makes is there without it. Otherwise the joiner waits: a set
// whose majority rests on a machine that has only just come is lost with that machine's disk.
func (m *Machine) admit(plan *memberPlan, j Member) {
	if i := slices.IndexFunc(plan.members, func(o Member) bool { return o.Addr == j.Addr }); i >= 0 {
		plan.members[i], plan.changed = j, true
		return
	}
	size := len(plan.members)
	raises := (size+1)/2 > size/2
	if raises && size >= m.leastMembers() {
		if absent := m.absent(plan.members, m.opt.SuspectAfter); len(absent) > 0 {
			plan.members = slices.DeleteFunc(plan.members, func(o Member) bool { return o.ID == absent[0].ID })
		} else if m.now-m.joiners[j.Addr].since < m.opt.SuspectAfter || m.present(plan.members) < (size+1)/2+1 {
			return
		}
	}
	if len(plan.members) < maxMembers {
		plan.members, plan.changed = append(plan.members, j), true
	}
}

// dropAbsent takes out of the plan those that leave or were silent for ForgetAfter, where that lowers the majority.
func (m *Machine) dropAbsent(plan *memberPlan) {
	absent := m.absent(plan.members, m.opt.ForgetAfter)
	absent = absent[:max(0, min(len(absent), len(plan.members)-m.leastMembers()))]
	if (len(plan.members)-len(absent))/2 == len(plan.members)/2 {
		return
	}
	plan.members = slices.DeleteFunc(plan.members, func(o Member) bool { return slices.Contains(absent, o) })
	plan.changed = true
	plan.urgent = slices.ContainsFunc(absent, func(o Member) bool { return m.leavesAsWitness(o.ID) })
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
