package nodeagent

import (
	"time"

	"molepaddle/internal/fleet/distribution"
)

// sourceChoice decides how long a node agent stays with a control server. One that is cut off from its primary answers pulls
// as before, but has nothing new: it is left when the word of the primary that came by it is older than a limit. While none is
// found that is newer, each of those known is asked in turn, at first without a wait. When all have been asked, no primary is to be
// had, and each is followed for a wait, so that the core isn't pressed.
type sourceChoice struct {
	wait  time.Duration // for which a pull may wait for news
	limit time.Duration // how old the word of the primary may be

	stale int // sources left since the last one that was fresh
	asked bool
	began time.Time // the link to this source
}

// freshFor is how old the word of the primary may be: a source that is in touch with it pulls once in a wait, and its answers may
// take as long as a silence.
func freshFor(wait, silence time.Duration) time.Duration { return wait + silence }

// begin notes that a source is to be followed.
func (s *sourceChoice) begin(now time.Time) { s.asked, s.began = false, now }

// end notes that a source was left.
func (s *sourceChoice) end() { s.stale++ }

// stays tells, before each pull, whether the source is still followed: age is that of the primary's word, known the number of
// sources.
func (s *sourceChoice) stays(now time.Time, age time.Duration, known int) bool {
	first := !s.asked
	s.asked = true
	if age < s.limit {
		s.stale = 0
		return true
	}
	return first || s.stale >= known && now.Sub(s.began) < s.wait
}

// pullWait is how long the next pull may wait: it comes back by when the word that is had reaches the limit.
func (s *sourceChoice) pullWait(age time.Duration, known int) time.Duration {
	switch {
	case age < s.limit:
		return max(min(s.wait, s.limit-age), leastWait)
	case s.stale < known:
		return 0
	}
	return s.wait
}

// leastWait keeps pulls from coming one upon the other just before the limit.
const leastWait = 20 * time.Millisecond

// withheld is a list of backends that came from a control server which may be cut off, while this process asks the platform
// itself: it is passed on once it is known to be the newer one.
type withheld struct {
	resource *distribution.Resource
	polledAt time.Time // when the platform was last asked here; zero: not since the control plane was last in touch
}

// older reports whether the word of the primary doesn't go beyond what was polled here.
func (w *withheld) older(heard time.Time) bool {
	return !w.polledAt.IsZero() && !heard.After(w.polledAt)
}
