package replication

import (
	"slices"
	"strings"
)

const maxMembers = 64

// seedID returns the identity in view 0 of the machine at addr.
func seedID(addr string) ID { return ID("seed:" + addr) }

// firstView returns view 0 with the seeds as members.
func firstView(seeds []string) View {
	addrs := slices.Clone(seeds)
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	v := View{}
	for _, a := range addrs {
		v.Members = append(v.Members, Member{ID: seedID(a), Addr: a})
	}
	return v
}

func (v *View) member(id ID) (Member, bool) {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

func (v *View) has(id ID) bool { _, ok := v.member(id); return ok }

func (v *View) quorum() int { return quorumSize(len(v.Members)) }

// rank returns 0 for the primary, 1 and up for the backups in their order, and -1 for others.
func (v *View) rank(id ID) int {
	if id == "" {
		return -1
	}
	if id == v.Primary {
		return 0
	}
	if i := slices.Index(v.Backups, id); i >= 0 {
		return i + 1
	}
	return -1
}

// valid reports whether v may be a decided view: every member has a unique identity and address, and the primary and
// the backups are distinct members.
func (v *View) valid() bool {
	if v.Epoch == 0 || len(v.Members) == 0 || len(v.Members) > maxMembers || !v.has(v.Primary) {
		return false
	}
	for i, m := range v.Members {
		if m.ID == "" || m.Addr == "" {
			return false
		}
		for _, o := range v.Members[:i] {
			if o.ID == m.ID || o.Addr == m.Addr {
				return false
			}
		}
	}
	for i, b := range v.Backups {
		if b == v.Primary || !v.has(b) || slices.Contains(v.Backups[:i], b) {
			return false
		}
	}
	return true
}

// less reports whether b is a lower ballot than o.
func (b Ballot) less(o Ballot) bool {
	if b.N != o.N {
		return b.N < o.N
	}
	return b.ID < o.ID
}

func sortMembers(ms []Member) {
	slices.SortFunc(ms, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
}
