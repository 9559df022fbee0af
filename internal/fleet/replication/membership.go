package replication

import (
	"cmp"
	"slices"
	"time"
)

type joiner struct {
	Member
	heard     time.Duration
	confirmed bool // answered a beat of ours by this identity
}

// joining lists the machines to be taken in.
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

// nextMembers are the members that the next view should have: with the machines that joined, without the older
// identities of their addresses, and without those silent for longest where that lowers the majority.
func (m *Machine) nextMembers() (next []Member, changed bool) {
	next = slices.Clone(m.view.Members)
	if !m.led {
		return next, false
	}
	for _, j := range m.joining() {
		next = slices.DeleteFunc(next, func(o Member) bool { return o.Addr == j.Addr })
		if len(next) < maxMembers {
			next, changed = append(next, j), true
		}
	}
	// Never below what the loss of all that may be lost leaves a majority of: who comes back may be needed.
	least := max(3, 2*m.opt.Survive.Copies()-1)
	var silent []Member
	for _, o := range next {
		at, ok := m.heard[o.ID]
		if o.ID != m.id.ID && m.view.has(o.ID) && (!ok || m.now-at >= m.opt.ForgetAfter) {
			silent = append(silent, o)
		}
	}
	slices.SortStableFunc(silent, func(a, b Member) int { return cmp.Compare(m.heard[a.ID], m.heard[b.ID]) })
	silent = silent[:max(0, min(len(silent), len(next)-least))]
	if (len(next)-len(silent))/2 < len(next)/2 {
		next, changed = slices.DeleteFunc(next, func(o Member) bool { return slices.Contains(silent, o) }), true
	}
	sortMembers(next)
	return next, changed
}
