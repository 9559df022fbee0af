package distribution

import "time"

// maxLeases bounds the members that may hold a lease in one Cache; renewals of further ones are ignored until a lease
// expires.
const maxLeases = 20_000

// lease is a member with the state it reported at its last renewal.
type lease struct {
	Member
	renewedAt time.Time
}

// leaseTable maps the members' names to their leases.
type leaseTable map[string]lease

// renew records the renewals that a request carries. It ignores a renewal that is older than the recorded one, since
// renewals may arrive by several paths. It reports whether a member started or stopped draining.
func (t leaseTable) renew(members []Member, now time.Time) (drainingChanged bool) {
	for _, m := range members {
		renewedAt := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
		l, ok := t[m.Name]
		if ok && !renewedAt.After(l.renewedAt) || !ok && len(t) >= maxLeases {
			continue
		}
		t[m.Name] = lease{Member: m, renewedAt: renewedAt}
		if m.Draining != l.Draining {
			drainingChanged = true
		}
	}
	return drainingChanged
}

// current returns the members whose lease is younger than maxAge, with their ages as of now, and removes the others.
func (t leaseTable) current(now time.Time, maxAge time.Duration) []Member {
	var all []Member
	for name, l := range t {
		age := now.Sub(l.renewedAt)
		if age >= maxAge {
			delete(t, name)
			continue
		}
		l.AgeMs = age.Milliseconds()
		all = append(all, l.Member)
	}
	return all
}
