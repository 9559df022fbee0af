package nodeagent

import (
	"sync"

	"molepaddle/internal/fleet/distribution"
)

// retainedLists is the number of versions of the backend list that are remembered. A proxy that is further behind is
// reported without a version of the list.
const retainedLists = 16

// listVersionMap maps the newest local versions of the backend list to the control servers' versions. A list that the
// agent polled itself has no version at the control servers. It is safe for use by many goroutines.
type listVersionMap struct {
	mu     sync.Mutex // guards the fields below
	recent [retainedLists]struct{ local, upstream distribution.Version }
	next   int // index of the element that is overwritten next
}

// record stores the control servers' version of a list.
func (l *listVersionMap) record(local, upstream distribution.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent[l.next].local = local
	l.recent[l.next].upstream = upstream
	l.next = (l.next + 1) % retainedLists
}

// translate replaces the members' list versions, in place, by the control servers' versions; the zero Version if they
// have none.
func (l *listVersionMap) translate(members []distribution.Member) []distribution.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range members {
		members[i].BackendListVersion = l.upstreamOf(members[i].BackendListVersion)
	}
	return members
}

// upstreamOf returns the control servers' version of a list, zero if there is none. Elements not yet recorded are zero
// too. The caller holds l.mu.
func (l *listVersionMap) upstreamOf(local distribution.Version) distribution.Version {
	upstream := distribution.Version{}
	if local == upstream {
		return upstream
	}
	for _, list := range l.recent {
		if list.local == local {
			upstream = list.upstream
		}
	}
	return upstream
}
