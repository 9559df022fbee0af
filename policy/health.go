package policy

// State is an agent's view of the health of a listed server.
type State uint8

// The four health states, best first.
const (
	// Connected is the state of a server that has served an answer or passed a probe since it last failed.
	Connected State = iota
	// Unknown is the state of a newly listed server.
	Unknown
	// UnhealthyPending is the state of a formerly Unhealthy server that awaits validation by a probe or a
	// request.
	UnhealthyPending
	// Unhealthy is the state of a server that failed.
	Unhealthy
)

// Health is one caller's view of the health of one listed backend: its State and the time it was entered.
// Times are in ms on any one clock that does not go back. Each transition reports whether the backend's tier
// may have changed. The zero Health is Connected since 0. A Health is not safe for concurrent use.
type Health struct {
	state State
	since float64
}

// NewHealth returns the Health of a newly listed backend, in state Unknown.
func NewHealth(now float64) Health { return Health{Unknown, now} }

// State returns the current state.
func (h *Health) State() State { return h.state }

// Since returns the time at which the current state was entered.
func (h *Health) Since() float64 { return h.since }

// Demote records a failed attempt or validation: the state becomes Unhealthy. A backend that is Unhealthy
// already keeps its entry time.
func (h *Health) Demote(now float64) bool { return h.state != Unhealthy && h.enter(now, Unhealthy) }

// Served records a served answer: the state becomes Connected. A backend that is Connected already keeps its
// entry time.
func (h *Health) Served(now float64) bool { return h.state != Connected && h.enter(now, Connected) }

// Refresh moves a backend that has been Unhealthy for at least hold ms to UnhealthyPending.
func (h *Health) Refresh(now, hold float64) bool {
	return h.state == Unhealthy && now-h.since >= hold && h.enter(now, UnhealthyPending)
}

// Probed records the result of a validation. It is ignored unless the backend is UnhealthyPending.
func (h *Health) Probed(now float64, ok bool) bool {
	return h.state == UnhealthyPending && (ok && h.Served(now) || !ok && h.Demote(now))
}

// Tier returns the backend's rank, 0 being the best: 0 for Connected, for Unknown and for UnhealthyPending
// since pendingTimeout ms or longer, 1 for UnhealthyPending before that, 2 for Unhealthy.
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
