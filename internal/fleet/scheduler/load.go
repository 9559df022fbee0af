package scheduler

import (
	"math"
	"slices"
)

// load is what is known of how busy a backend is: by its newest report, which came with a response or by way of the
// control plane's polling, and by what this proxy sees itself.
type load struct {
	// The newest report.
	reportedAt       float64 // ms
	reportedActive   int     // requests running there
	reportedQueued   int     // requests waiting there
	inFlightAtReport int     // this proxy's requests there then

	// Responsiveness.
	awaitingHeaders []float64 // since when requests wait for response headers, the oldest first, ms
	lastContact     float64   // when this proxy last received anything from it, ms
	unresponsiveAt  float64   // when it was last found unresponsive, ms; 0: it has answered since

	rejectedAt float64 // when it last rejected a request, ms; 0: it has accepted one since
}

const (
	// loadFreshMs is how long a report counts for estimates of queued prefill, ms: prefills are short.
	loadFreshMs = 400
	// occupancyFreshMs is how long a report counts for a backend's occupancy, ms: a decode occupies the batch for
	// seconds.
	occupancyFreshMs = 3000
	// polledLoadLagMs is how old a polled load is when it arrives, ms: reports lag, and a polling round takes a
	// while.
	polledLoadLagMs = 300
	// rejectionHoldMs is how long a backend that rejected a request counts as full, ms: one that changes its phase
	// rejects until its last answer has ended.
	rejectionHoldMs = 2000
	// unresponsiveAfterMs is how long a backend sends nothing until it counts as unresponsive, ms: half of the time
	// after which clients leave a silent stream at the soonest (PROTOCOL).
	unresponsiveAfterMs = 1000
	// unresponsiveHoldMs is how long a backend counts as unresponsive, ms; then it is tried again.
	unresponsiveHoldMs = 2500
	// contactPrecedenceMs is how recent this proxy's last contact must be to outweigh what the control plane says,
	// ms.
	contactPrecedenceMs = 700
	// maxAwaiting bounds the requests whose wait for headers is tracked at one backend.
	maxAwaiting = 256
)

// ObserveResponseLoad records the load that a backend reported with a response: requests running and waiting there.
func (e *Estimator) ObserveResponseLoad(now float64, id string, active, queued int) {
	b := e.byID[id]
	if b == nil {
		return
	}
	b.lastContact = now
	b.unresponsiveAt = 0
	b.reportedAt = now
	b.reportedActive = active
	b.reportedQueued = queued
	b.inFlightAtReport = b.inFlight
}

// ObservePolledLoad records how many requests were at a backend when the control plane polled it. It is ignored where
// the backend has reported its load since.
func (e *Estimator) ObservePolledLoad(now float64, id string, active int) {
	b := e.byID[id]
	if b == nil || b.reportedAt >= now-polledLoadLagMs {
		return
	}
	capacity := max(e.spec.Capacity, 1)
	b.reportedAt = now - polledLoadLagMs
	b.reportedActive = min(active, capacity)
	b.reportedQueued = max(active-capacity, 0)
	b.inFlightAtReport = b.inFlight
}

// occupancy returns how many requests are at the backend: those it reported and those this proxy sent since.
func (b *backendState) occupancy() int {
	return max(b.reportedActive+b.reportedQueued+max(b.inFlight-b.inFlightAtReport, 0), b.inFlight)
}

// Utilization returns the occupied part of a backend's batch: 0 to 1, and above 1 where requests queue; 0 where the
// capacity isn't known.
func (e *Estimator) Utilization(id string) float64 {
	b := e.byID[id]
	if b == nil || e.spec.Capacity <= 0 {
		return 0
	}
	return float64(b.occupancy()) / float64(e.spec.Capacity)
}

// Full tells whether the backend is believed to have no capacity left.
func (e *Estimator) Full(now float64, id string) bool {
	b := e.byID[id]
	if b == nil || e.spec.Capacity <= 0 {
		return false
	}
	if b.rejectedAt > 0 && now-b.rejectedAt < rejectionHoldMs {
		return true
	}
	if b.inFlight >= e.spec.Capacity {
		return true
	}
	if b.prefill {
		return now-b.reportedAt < loadFreshMs && b.reportedQueued > 0 && b.reportedActive >= e.spec.Capacity
	}
	return now-b.reportedAt < occupancyFreshMs && b.occupancy() >= e.spec.Capacity
}

// AwaitHeaders records that a request begins to wait for response headers, and returns the time to pass to
// AwaitEnded.
func (e *Estimator) AwaitHeaders(now float64, id string) (since float64) {
	if b := e.byID[id]; b != nil && len(b.awaitingHeaders) < maxAwaiting {
		b.awaitingHeaders = append(b.awaitingHeaders, now)
	}
	return now
}

// AwaitEnded records the end of the wait that AwaitHeaders began: received tells whether headers came. A backend from
// which nothing came since then, more than unresponsiveAfterMs ago, counts as unresponsive.
func (e *Estimator) AwaitEnded(now float64, id string, since float64, received bool) {
	b := e.byID[id]
	if b == nil {
		return
	}
	if i := slices.Index(b.awaitingHeaders, since); i >= 0 {
		b.awaitingHeaders = slices.Delete(b.awaitingHeaders, i, i+1)
	}
	switch {
	case received:
		b.lastContact = now
		b.unresponsiveAt = 0
	case now-since > unresponsiveAfterMs && b.lastContact < since:
		b.unresponsiveAt = now
	}
}

// MarkUnresponsive records that the control plane had no contact with a backend. It is ignored where this proxy's own
// contact is recent.
func (e *Estimator) MarkUnresponsive(now float64, id string) {
	if b := e.byID[id]; b != nil && b.lastContact < now-contactPrecedenceMs {
		b.unresponsiveAt = now
	}
}

// MarkedUnresponsive tells whether a backend was found unresponsive within unresponsiveHoldMs and hasn't answered
// since.
func (e *Estimator) MarkedUnresponsive(now float64, id string) bool {
	b := e.byID[id]
	return b != nil && b.unresponsiveAt > 0 && now-b.unresponsiveAt < unresponsiveHoldMs
}

// Unresponsive tells whether a backend is marked unresponsive, or a request has waited there for response headers for
// longer than timeoutMs.
func (e *Estimator) Unresponsive(now float64, id string, timeoutMs float64) bool {
	if e.MarkedUnresponsive(now, id) {
		return true
	}
	b := e.byID[id]
	return b != nil && len(b.awaitingHeaders) > 0 && now-b.awaitingHeaders[0] > timeoutMs
}

// ObserveRejection records that a backend rejected a request for lack of capacity.
func (e *Estimator) ObserveRejection(now float64, id string) {
	if b := e.byID[id]; b != nil {
		b.rejectedAt = max(now, math.SmallestNonzeroFloat64) // 0 stands for none
	}
}

// ObserveAcceptance records that a backend accepted a request.
func (e *Estimator) ObserveAcceptance(id string) {
	if b := e.byID[id]; b != nil {
		b.rejectedAt = 0
	}
}
