package policy

// State is what an agent holds a listed server to be.
type State uint8

// The four states, best first.
const (
	Connected State = iota
	Unknown
	UnhealthyPending
	Unhealthy
)

// Standing is what one caller holds one listed backend to be, and since when: the four states of the
// design with their transitions. Times are in ms on any one clock that does not go back. Each transition
// tells whether the backend's tier may have changed. The zero Standing is Connected since 0.
type Standing struct {
	state State
	since float64
}

// NewStanding is that of a backend that has just been listed: Unknown.
func NewStanding(now float64) Standing { return Standing{Unknown, now} }

// State is the present state, Since when it was entered.
func (s *Standing) State() State   { return s.state }
func (s *Standing) Since() float64 { return s.since }

// Demote takes a failed attempt or validation. A backend that is Unhealthy keeps its entry time.
func (s *Standing) Demote(now float64) bool { return s.state != Unhealthy && s.enter(now, Unhealthy) }

// Served takes a served answer: Connected. One that is Connected keeps its entry time.
func (s *Standing) Served(now float64) bool { return s.state != Connected && s.enter(now, Connected) }

// Refresh has a backend that has been Unhealthy for hold (in ms, 0: at once) await validation.
func (s *Standing) Refresh(now, hold float64) bool {
	return s.state == Unhealthy && now-s.since >= hold && s.enter(now, UnhealthyPending)
}

// Probed takes a validation's end; it counts only for a backend that still awaits it.
func (s *Standing) Probed(now float64, ok bool) bool {
	return s.state == UnhealthyPending && (ok && s.Served(now) || !ok && s.Demote(now))
}

// Tier is the rank among backends, 0 the best: Connected, Unknown and what has lapsed, then
// UnhealthyPending, then Unhealthy. Who has awaited validation for lapse (in ms, 0: at once) has lapsed.
func (s *Standing) Tier(now, lapse float64) int {
	switch {
	case s.state == Unhealthy:
		return 2
	case s.state == UnhealthyPending && now-s.since < lapse:
		return 1
	}
	return 0
}

func (s *Standing) enter(now float64, to State) bool {
	tiers := s.state > Unknown || to > Unknown
	s.state, s.since = to, now
	return tiers
}
