package policy

// State is the health state in which an agent holds a listed server.
type State uint8

// The four health states, best first.
const (
	// Connected is a server that has served of late.
	Connected State = iota
	// Unknown is a server that has just been listed.
	Unknown
	// UnhealthyPending is a server that was Unhealthy and awaits validation, by a probe or by a request.
	UnhealthyPending
	// Unhealthy is a server that failed.
	Unhealthy
)

// Health is the health state in which one caller holds one listed backend, and since when: the four states of
// the design with their transitions. Times are in ms on any one clock that does not go back. Each transition
// returns whether the backend's tier may have changed. The zero Health is Connected since 0. It is not safe
// for concurrent use.
type Health struct {
	state State
	since float64
}

// NewHealth returns that of a backend that has just been listed: Unknown.
func NewHealth(now float64) Health { return Health{Unknown, now} }

// State returns the present state.
func (h *Health) State() State { return h.state }

// Since returns when the present state was entered.
func (h *Health) Since() float64 { return h.since }

// Demote takes a failed attempt or validation. A backend that is Unhealthy keeps its entry time.
func (h *Health) Demote(now float64) bool { return h.state != Unhealthy && h.enter(now, Unhealthy) }

// Served takes a served answer: Connected. A backend that is Connected keeps its entry time.
func (h *Health) Served(now float64) bool { return h.state != Connected && h.enter(now, Connected) }

// Refresh has a backend that has been Unhealthy for hold (in ms, 0: at once) await validation.
func (h *Health) Refresh(now, hold float64) bool {
	return h.state == Unhealthy && now-h.since >= hold && h.enter(now, UnhealthyPending)
}

// Probed takes the end of a validation; it counts only for a backend that still awaits it.
func (h *Health) Probed(now float64, ok bool) bool {
	return h.state == UnhealthyPending && (ok && h.Served(now) || !ok && h.Demote(now))
}

// Tier returns the rank among backends, 0 the best: Connected, Unknown and what awaited validation for too
// long, then UnhealthyPending, then Unhealthy. pendingTimeout is how long a backend awaits validation until
// it ranks as healthy again, in ms, 0: no time.
func (h *Health) Tier(now, pendingTimeout float64) int {
	switch {
	case h.state == Unhealthy:
		return 2
	case h.state == UnhealthyPending && now-h.since < pendingTimeout:
		return 1
	}
	return 0
}

func (h *Health) enter(now float64, to State) bool {
	tiers := h.state > Unknown || to > Unknown
	h.state = to
	h.since = now
	return tiers
}
