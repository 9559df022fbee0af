package nodeagent

import "molepaddle/internal/fleet/distribution"

// listVersionMap tells what the control servers call the newest lists that the proxy was fed: it hears of them by this
// process's own count. Lists that were polled here have no such number.
type listVersionMap struct {
	recent [retainedLists]struct{ here, there distribution.Version }
	next   int
}

// retainedLists bounds how many lists a proxy may be behind and still be told apart from one that has none.
const retainedLists = 16

// record remembers one list.
func (l *listVersionMap) record(local, upstream distribution.Version) {
	l.recent[l.next].here, l.recent[l.next].there = local, upstream
	l.next = (l.next + 1) % retainedLists
}

// translate has the members tell of their lists as the control servers do: the zero Version stands for what these don't know.
func (l *listVersionMap) translate(members []distribution.Member) []distribution.Member {
	for i := range members {
		local := members[i].BackendListVersion
		members[i].BackendListVersion = distribution.Version{}
		for _, n := range l.recent {
			if n.here == local && local != (distribution.Version{}) {
				members[i].BackendListVersion = n.there
			}
		}
	}
	return members
}
