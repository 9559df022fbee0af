package nodeagent

import "time"

// minPullTimeout keeps pulls from following one upon the other just before the limit of the contact's age.
const minPullTimeout = 20 * time.Millisecond

// serverSelection decides how long a node agent follows a control server, and how long each pull may wait.
//
// A control server that is partitioned off from its primary answers pulls as before, but has nothing new: it is left
// when the last contact with the primary that it reports is older than maxContactAge. Until a server with a newer
// contact is found, each known one is asked in turn, at first without a wait. When all have been asked, no primary
// can be reached, and each is followed for a long poll, so that the search doesn't load the control servers.
type serverSelection struct {
	longPoll      time.Duration // for which a pull may wait for an update
	maxContactAge time.Duration // see contactAgeLimit

	staleInARow   int       // servers left since the last one with a recent contact
	pulled        bool      // whether this server has been pulled from
	followedSince time.Time // since when this server is followed
}

// contactAgeLimit is the greatest age of a primary's last contact that is no sign of a partition: a server that is in
// touch with the primary pulls once in a long poll, and the answer may take as long as the read timeout.
func contactAgeLimit(longPoll, readTimeout time.Duration) time.Duration {
	return longPoll + readTimeout
}

// begin notes that the next server is followed from now on.
func (s *serverSelection) begin(now time.Time) {
	s.pulled = false
	s.followedSince = now
}

// end notes that the server was left.
func (s *serverSelection) end() { s.staleInARow++ }

// keepFollowing reports, before each pull, whether the server is still followed. contactAge is how long ago the primary
// was last in touch; servers is the number of known control servers.
func (s *serverSelection) keepFollowing(now time.Time, contactAge time.Duration, servers int) bool {
	first := !s.pulled
	s.pulled = true
	if contactAge < s.maxContactAge {
		s.staleInARow = 0
		return true
	}
	return first || s.staleInARow >= servers && now.Sub(s.followedSince) < s.longPoll
}

// pullTimeout is how long the next pull may wait for an update: it comes back by when the contact's age reaches the
// limit.
func (s *serverSelection) pullTimeout(contactAge time.Duration, servers int) time.Duration {
	switch {
	case contactAge < s.maxContactAge:
		return max(min(s.longPoll, s.maxContactAge-contactAge), minPullTimeout)
	case s.staleInARow < servers:
		return 0
	}
	return s.longPoll
}
