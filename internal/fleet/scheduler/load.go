package scheduler

import (
	"math"
	"slices"
)

// load is what is known of how busy a backend is: as it last told with an answer, or as the holder of the duty of orders
// heard from it, whichever is newer; and which requests of this proxy still wait there for the head of their answer.
type load struct {
	reportedAt       float64 // ms
	reportedActive   int
	reportedQueued   int
	inFlightAtReport int       // running then
	awaitingHeaders  []float64 // since when, the oldest first
	lastContact      float64   // when this proxy last heard of it itself
	unresponsiveAt   float64   // when it was last found silent; 0: it was heard since
	rejectedAt       float64   // when it last turned a request away; 0: it took one since
}

const (
	// loadFreshMs is how long what a backend told of its load counts for how much it has to read, ms.
	loadFreshMs = 400
	// occupancyFreshMs is how long it counts for how many places are taken, ms: answers that are made for seconds hold them.
	occupancyFreshMs = 3000
	// polledLoadLagMs is how old a gauged load is when it comes, ms: reports lag, rounds of them take a while.
	polledLoadLagMs = 300
	// rejectionHoldMs is how long a backend that turned a request away is taken for full, ms: one whose phase changes does so until its
	// last answer has ended.
	rejectionHoldMs = 2000
	// unresponsiveAfterMs is half of the time after which clients give a silent stream up at the soonest (PROTOCOL), ms; unresponsiveHoldMs is how
	// long a backend is taken for silent; contactPrecedenceMs is how much newer this proxy's word has to be than the control plane's.
	unresponsiveAfterMs, unresponsiveHoldMs, contactPrecedenceMs = 1000, 2500, 700
	// maxAwaiting bounds the waiting requests that are told apart at one backend.
	maxAwaiting = 256
)

// ObserveResponseLoad takes what a backend said of its load.
func (e *Estimator) ObserveResponseLoad(now float64, id string, active, waiting int) {
	if g := e.byID[id]; g != nil {
		g.lastContact, g.unresponsiveAt = now, 0
		g.reportedAt, g.reportedActive, g.reportedQueued, g.inFlightAtReport = now, active, waiting, g.inFlight
	}
}

// ObservePolledLoad takes how many requests were at a backend by its report; it counts unless the backend told of itself since.
func (e *Estimator) ObservePolledLoad(now float64, id string, active int) {
	if g := e.byID[id]; g != nil && g.reportedAt < now-polledLoadLagMs {
		capacity := max(e.spec.Capacity, 1)
		g.reportedAt, g.reportedActive, g.reportedQueued, g.inFlightAtReport = now-polledLoadLagMs, min(active, capacity), max(active-capacity, 0), g.inFlight
	}
}

// occupancy is how many of a backend's places are taken, by its own word and by what this proxy sent since.
func (b *backendState) occupancy() int {
	return max(b.reportedActive+b.reportedQueued+max(b.inFlight-b.inFlightAtReport, 0), b.inFlight)
}

// Utilization is how full a backend's batch is: 0 to 1 and above.
func (e *Estimator) Utilization(id string) float64 {
	g := e.byID[id]
	if g == nil || e.spec.Capacity <= 0 {
		return 0
	}
	return float64(g.occupancy()) / float64(e.spec.Capacity)
}

// Full tells whether the backend is believed to have no place now.
func (e *Estimator) Full(now float64, id string) bool {
	g := e.byID[id]
	if g == nil || e.spec.Capacity <= 0 {
		return false
	}
	if g.rejectedAt > 0 && now-g.rejectedAt < rejectionHoldMs {
		return true
	}
	if g.prefill {
		return g.inFlight >= e.spec.Capacity || now-g.reportedAt < loadFreshMs && g.reportedQueued > 0 && g.reportedActive >= e.spec.Capacity
	}
	return g.inFlight >= e.spec.Capacity || now-g.reportedAt < occupancyFreshMs && g.occupancy() >= e.spec.Capacity
}

// AwaitHeaders notes that the head of an answer is waited for, and gives what Heard is to be told.
func (e *Estimator) AwaitHeaders(now float64, id string) (since float64) {
	if g := e.byID[id]; g != nil && len(g.awaitingHeaders) < maxAwaiting {
		g.awaitingHeaders = append(g.awaitingHeaders, now)
	}
	return now
}

// AwaitEnded notes that a head came, or is waited for no more: a backend of which nothing came for unresponsiveAfterMs is taken for silent.
func (e *Estimator) AwaitEnded(now float64, id string, since float64, came bool) {
	g := e.byID[id]
	if g == nil {
		return
	}
	if i := slices.Index(g.awaitingHeaders, since); i >= 0 {
		g.awaitingHeaders = slices.Delete(g.awaitingHeaders, i, i+1)
	}
	switch {
	case came:
		g.lastContact, g.unresponsiveAt = now, 0
	case now-since > unresponsiveAfterMs && g.lastContact < since:
		g.unresponsiveAt = now
	}
}

// MarkUnresponsive notes that the control plane did not hear a backend; this proxy's own word counts where it is newer.
func (e *Estimator) MarkUnresponsive(now float64, id string) {
	if g := e.byID[id]; g != nil && g.lastContact < now-contactPrecedenceMs {
		g.unresponsiveAt = now
	}
}

// MarkedUnresponsive tells whether a backend was found silent of late.
func (e *Estimator) MarkedUnresponsive(now float64, id string) bool {
	g := e.byID[id]
	return g != nil && g.unresponsiveAt > 0 && now-g.unresponsiveAt < unresponsiveHoldMs
}

// Unresponsive tells whether a backend was found silent of late, or a request has waited there for so many ms for the head of its
// answer.
func (e *Estimator) Unresponsive(now float64, id string, patience float64) bool {
	g := e.byID[id]
	return e.MarkedUnresponsive(now, id) || g != nil && len(g.awaitingHeaders) > 0 && now-g.awaitingHeaders[0] > patience
}

// ObserveRejection notes that a backend turned a request away, Took that it took one.
func (e *Estimator) ObserveRejection(now float64, id string) {
	if g := e.byID[id]; g != nil {
		g.rejectedAt = max(now, math.SmallestNonzeroFloat64)
	}
}

// ObserveAcceptance notes that a backend took a request.
func (e *Estimator) ObserveAcceptance(id string) {
	if g := e.byID[id]; g != nil {
		g.rejectedAt = 0
	}
}
