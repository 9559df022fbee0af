package nodeagent

import (
	"sync"

	"molepaddle/internal/fleet/distribution"
)

// retainedLists is how many versions of the list a proxy may lag behind before it is reported as one without a list.
const retainedLists = 16

// listVersionMap maps the newest local versions of the list of backends to the control servers' versions. A list that
// was polled here has no version there. It may be used from any goroutine.
type listVersionMap struct {
	mu     sync.Mutex // guards what follows
	recent [retainedLists]struct{ local, upstream distribution.Version }
	next   int // the element that is overwritten next
}

// record remembers the version that the control servers gave to a list.
func (l *listVersionMap) record(local, upstream distribution.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent[l.next].local = local
	l.recent[l.next].upstream = upstream
	l.next = (l.next + 1) % retainedLists
}

// translate replaces the members' list versions, in place, by the control servers'; the zero Version stands for a list
// that these don't know.
func (l *listVersionMap) translate(members []distribution.Member) []distribution.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range members {
		members[i].BackendListVersion = l.upstreamOf(members[i].BackendListVersion)
	}
	return members
}

// upstreamOf is the control servers' version of a list, zero where it has none. Elements not yet recorded are zero too.
// The lock is held.
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
