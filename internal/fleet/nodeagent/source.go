package nodeagent

import (
	"time"

	"molepaddle/internal/fleet/distribution"
)

// serverSelection decides how long a node agent stays with a control server. One that is cut off from its primary answers pulls
// as before, but has nothing new: it is left when the word of the primary that came by it is older than a limit. While none is
// found that is newer, each of those known is asked in turn, at first without a wait. When all have been asked, no primary is to be
// had, and each is followed for a wait, so that the core isn't pressed.
type serverSelection struct {
	longPoll      time.Duration // for which a pull may wait for news
	maxContactAge time.Duration // how old the word of the primary may be

	staleInARow   int // sources left since the last one that was fresh
	pulled        bool
	followedSince time.Time // the link to this source
}

// contactAgeLimit is how old the word of the primary may be: a source that is in touch with it pulls once in a wait, and its answers may
// take as long as a silence.
func contactAgeLimit(longPoll, readTimeout time.Duration) time.Duration {
	return longPoll + readTimeout
}

// begin notes that a source is to be followed.
func (s *serverSelection) begin(now time.Time) { s.pulled, s.followedSince = false, now }

// end notes that a source was left.
func (s *serverSelection) end() { s.staleInARow++ }

// keepFollowing tells, before each pull, whether the source is still followed: age is that of the primary's word, known the number of
// sources.
func (s *serverSelection) keepFollowing(now time.Time, contactAge time.Duration, servers int) bool {
	first := !s.pulled
	s.pulled = true
	if contactAge < s.maxContactAge {
		s.staleInARow = 0
		return true
	}
	return first || s.staleInARow >= servers && now.Sub(s.followedSince) < s.longPoll
}

// pullTimeout is how long the next pull may wait: it comes back by when the word that is had reaches the limit.
func (s *serverSelection) pullTimeout(contactAge time.Duration, servers int) time.Duration {
	switch {
	case contactAge < s.maxContactAge:
		return max(min(s.longPoll, s.maxContactAge-contactAge), minPullTimeout)
	case s.staleInARow < servers:
		return 0
	}
	return s.longPoll
}

// minPullTimeout keeps pulls from coming one upon the other just before the limit.
const minPullTimeout = 20 * time.Millisecond

// pendingList is a list of backends that came from a control server which may be cut off, while this process asks the platform
// itself: it is passed on once it is known to be the newer one.
type pendingList struct {
	resource *distribution.Resource
	polledAt time.Time // when the platform was last asked here; zero: not since the control plane was last in touch
}

// superseded reports whether the word of the primary doesn't go beyond what was polled here.
func (p *pendingList) superseded(lastContact time.Time) bool {
	return !p.polledAt.IsZero() && !lastContact.After(p.polledAt)
}
