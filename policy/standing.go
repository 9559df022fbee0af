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

// Health is what one caller holds one listed backend to be, and since when: the four states of the
// design with their transitions. Times are in ms on any one clock that does not go back. Each transition
// tells whether the backend's tier may have changed. The zero Standing is Connected since 0.
type Health struct {
	state State
	since float64
}

// NewHealth is that of a backend that has just been listed: Unknown.
func NewHealth(now float64) Health { return Health{Unknown, now} }

// State is the present state, Since when it was entered.
func (h *Health) State() State   { return h.state }
func (h *Health) Since() float64 { return h.since }

// Demote takes a failed attempt or validation. A backend that is Unhealthy keeps its entry time.
func (h *Health) Demote(now float64) bool { return h.state != Unhealthy && h.enter(now, Unhealthy) }

// Served takes a served answer: Connected. One that is Connected keeps its entry time.
func (h *Health) Served(now float64) bool { return h.state != Connected && h.enter(now, Connected) }

// Refresh has a backend that has been Unhealthy for hold (in ms, 0: at once) await validation.
func (h *Health) Refresh(now, hold float64) bool {
	return h.state == Unhealthy && now-h.since >= hold && h.enter(now, UnhealthyPending)
}

// Probed takes a validation's end; it counts only for a backend that still awaits it.
func (h *Health) Probed(now float64, ok bool) bool {
	return h.state == UnhealthyPending && (ok && h.Served(now) || !ok && h.Demote(now))
}

// Tier is the rank among backends, 0 the best: Connected, Unknown and what has lapsed, then
// UnhealthyPending, then Unhealthy. Who has awaited validation for lapse (in ms, 0: at once) has lapsed.
func (h *Health) Tier(now, lapse float64) int {
	switch {
	case h.state == Unhealthy:
		return 2
	case h.state == UnhealthyPending && now-h.since < lapse:
		return 1
	}
	return 0
}

func (h *Health) enter(now float64, to State) bool {
	tiers := h.state > Unknown || to > Unknown
	h.state, h.since = to, now
	return tiers
}
