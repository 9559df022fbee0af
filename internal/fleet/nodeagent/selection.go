package nodeagent

import "time"

// minPullTimeout prevents a rapid series of pulls just before the contact's age reaches its limit.
const minPullTimeout = 20 * time.Millisecond

// serverSelection decides how long a node agent watches a control server, and how long each pull may wait.
//
// A control server that is partitioned from its primary still answers pulls, but has no updates: the agent leaves it
// when the last contact with the primary is older than maxContactAge. It then pulls from each known server in turn,
// first without a wait, until one has a newer contact. Once all have been tried, no primary can be reached, and the
// agent watches each for a long poll, so that the search doesn't overload the control servers.
type serverSelection struct {
	longPoll      time.Duration // how long a pull may wait for an update
	maxContactAge time.Duration // see contactAgeLimit

	staleInARow   int       // servers left since the last recent contact
	pulled        bool      // whether there was a pull from the current server
	followedSince time.Time // when the watch of the current server began
}

// contactAgeLimit returns the age of the last contact with a primary above which a partition is assumed: a server that
// is connected to the primary pulls once per long poll, and the response may take as long as the read time-out.
func contactAgeLimit(longPoll, readTimeout time.Duration) time.Duration {
	return longPoll + readTimeout
}

// begin records that the watch of the next server begins.
func (s *serverSelection) begin(now time.Time) {
	s.pulled = false
	s.followedSince = now
}

// end records that the watch of the server ended.
func (s *serverSelection) end() { s.staleInARow++ }

// keepFollowing reports, before each pull, whether to pull from the server again. contactAge is the age of the last
// contact with the primary; servers is the number of known control servers.
func (s *serverSelection) keepFollowing(now time.Time, contactAge time.Duration, servers int) bool {
	first := !s.pulled
	s.pulled = true
	if contactAge < s.maxContactAge {
		s.staleInARow = 0
		return true
	}
	return first || s.staleInARow >= servers && now.Sub(s.followedSince) < s.longPoll
}

// pullTimeout returns how long the next pull may wait for an update: at most until the contact's age reaches the
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
