package nodeagent

import "molepaddle/internal/fleet/distribution"

// listNumbers tells what the control servers call the newest lists that the proxy was fed: it hears of them by this
// process's own count. Lists that were polled here have no such number.
type listNumbers struct {
	newest [keptLists]struct{ here, there distribution.Version }
	next   int
}

// keptLists bounds how many lists a proxy may be behind and still be told apart from one that has none.
const keptLists = 16

// note remembers one list.
func (l *listNumbers) note(here, there distribution.Version) {
	l.newest[l.next].here, l.newest[l.next].there = here, there
	l.next = (l.next + 1) % keptLists
}

// theirs has the members tell of their lists as the control servers do: the zero Version stands for what these don't know.
func (l *listNumbers) theirs(members []distribution.Member) []distribution.Member {
	for i := range members {
		had := members[i].BackendListVersion
		members[i].BackendListVersion = distribution.Version{}
		for _, n := range l.newest {
			if n.here == had && had != (distribution.Version{}) {
				members[i].BackendListVersion = n.there
			}
		}
	}
	return members
}
