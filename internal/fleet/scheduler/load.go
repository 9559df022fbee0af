package scheduler

import (
	"math"
	"slices"
)

// load is the load state of a backend: its newest report, received with a response or from the control plane's polling,
// and this proxy's own observations.
type load struct {
	// The newest report.
	reportedAt       float64 // ms
	reportedActive   int     // running requests
	reportedQueued   int     // queued requests
	inFlightAtReport int     // this proxy's requests at the backend at that time

	// Responsiveness.
	awaitingHeaders []float64 // start times of the waits for response headers, the oldest first, ms
	lastContact     float64   // time when this proxy last received anything from it, ms
	unresponsiveAt  float64   // time when it was last found unresponsive, ms; 0: it has responded since

	rejectedAt float64 // time when it last rejected a request, ms; 0: it has accepted one since
}

const (
	// loadFreshMs is how long a report is used for estimates of queued prefills, ms. Prefills are short.
	loadFreshMs = 400
	// occupancyFreshMs is how long a report is used for a backend's occupancy, ms. A decode occupies the batch for
	// seconds.
	occupancyFreshMs = 3000
	// polledLoadLagMs is the assumed age of a polled load when it arrives, ms, due to reporting delay and the length of
	// a polling round.
	polledLoadLagMs = 300
	// rejectionHoldMs is how long a backend that rejected a request is considered full, ms. A backend that changes its
	// phase rejects requests until its last answer has ended.
	rejectionHoldMs = 2000
	// unresponsiveAfterMs is the time without data after which a backend is considered unresponsive, ms: half of the
	// minimum time after which clients abandon a silent stream (PROTOCOL).
	unresponsiveAfterMs = 1000
	// unresponsiveHoldMs is how long a backend is considered unresponsive, ms; then it is tried again.
	unresponsiveHoldMs = 2500
	// contactPrecedenceMs is the maximum age at which this proxy's last contact takes precedence over the control
	// plane's observation, ms.
	contactPrecedenceMs = 700
	// maxAwaiting is the maximum number of requests per backend whose wait for headers is tracked.
	maxAwaiting = 256
)

// ObserveResponseLoad records the load that a backend reported with a response: its running and queued requests.
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

// ObservePolledLoad records how many requests were at a backend when the control plane polled it. It is ignored if the
// backend has reported its load since.
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

// occupancy returns the number of requests at the backend: those it reported and those this proxy has sent since.
func (b *backendState) occupancy() int {
	return max(b.reportedActive+b.reportedQueued+max(b.inFlight-b.inFlightAtReport, 0), b.inFlight)
}

// Utilization returns the occupied fraction of a backend's batch: 0 to 1, or above 1 if requests are queued; 0 if the
// capacity is unknown.
func (e *Estimator) Utilization(id string) float64 {
	b := e.byID[id]
	if b == nil || e.spec.Capacity <= 0 {
		return 0
	}
	return float64(b.occupancy()) / float64(e.spec.Capacity)
}

// Full reports whether the backend is estimated to have no capacity left.
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

// AwaitHeaders records that a request starts to wait for response headers, and returns the time to pass to
// AwaitEnded.
func (e *Estimator) AwaitHeaders(now float64, id string) (since float64) {
	if b := e.byID[id]; b != nil && len(b.awaitingHeaders) < maxAwaiting {
		b.awaitingHeaders = append(b.awaitingHeaders, now)
	}
	return now
}

// AwaitEnded records the end of a wait that AwaitHeaders started; received is true if headers arrived. If the wait took
// longer than unresponsiveAfterMs and nothing was received from the backend in that time, it is marked unresponsive.
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

// MarkUnresponsive records that the control plane could not reach a backend. It is ignored if this proxy's own last
// contact is at most contactPrecedenceMs old.
func (e *Estimator) MarkUnresponsive(now float64, id string) {
	if b := e.byID[id]; b != nil && b.lastContact < now-contactPrecedenceMs {
		b.unresponsiveAt = now
	}
}

// MarkedUnresponsive reports whether a backend was found unresponsive within the last unresponsiveHoldMs and hasn't
// responded since.
func (e *Estimator) MarkedUnresponsive(now float64, id string) bool {
	b := e.byID[id]
	return b != nil && b.unresponsiveAt > 0 && now-b.unresponsiveAt < unresponsiveHoldMs
}

// Unresponsive reports whether a backend is marked unresponsive, or a request has waited for its response headers for
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
		b.rejectedAt = max(now, math.SmallestNonzeroFloat64) // 0 means no rejection
	}
}

// ObserveAcceptance records that a backend accepted a request.
func (e *Estimator) ObserveAcceptance(id string) {
	if b := e.byID[id]; b != nil {
		b.rejectedAt = 0
	}
}
