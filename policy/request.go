package policy

import (
	"cmp"
	"slices"

	"molepaddle/internal/decide/arith"
)

// minHintedTimeShare is the least time that a hinted request must have left, as a share of its expected
// answer time.
const minHintedTimeShare = 0.7

// overShareFactor is the ratio of a tenant's share of the requests to its portion above which its requests
// lose value.
const overShareFactor = 1.1

// maxSlowdown bounds the assumed ratio of a server's answer time to the fleet's.
const maxSlowdown = 8.0

// attempt is one send of a request to a server.
type attempt struct {
	r            *request
	s            *server
	index        int
	sentAt       float64 // ms
	cost         float64
	soleInFlight bool // no other attempt of this agent was in flight at its server
	done         bool
}

// request is one request of a client, kept until it is answered and none of its attempts is in flight.
type request struct {
	id     RequestID
	class  int
	tenant int
	key    uint64  // affinity key of the client; 0: none
	hash   uint64  // orders the servers for this request
	hint   float64 // expected work, ms; 0: none

	// Times, ms.
	first    float64 // arrival of the client's first request for the same work, as far as known
	arrived  float64
	targetAt float64 // latest answer that counts as in time
	deadline float64 // less a margin

	// Attempts.
	attempts    []*attempt
	maxAttempts int
	retryAt     float64 // earliest next attempt after one that found no connection, ms
	inFlight    int     // attempts in flight
	maybeRan    int     // attempts that a server may have executed
	ranAt       float64 // when the first of these was sent, ms
	ranOn       *server // server of the first of these

	// Last selection.
	affinityServers [affinityServers]*server // nearest to the key, as of epoch
	epoch           uint64
	tierWeight      float64 // total weight of the tier
	value           float64 // value per unit of server time

	closed      bool
	started     bool // a streamed answer is being relayed to the client
	bodyPending bool // the body is incomplete: the request's time has not begun
}

func (b *Balancer) onRequest(ev *Event) {
	if b.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(b.set.Classes) {
		b.finishUnserved(&request{id: ev.Request}) // every request gets an answer; this one never ran
		return
	}
	r := b.newRequest(ev)
	b.answerTimes.ObserveHint(r.hint)
	b.startClock(r, ev.LeftMs, ev.Retry)
	r.hash = b.affinityHash(r.key)
	b.requests[r.id] = r
	b.requestRate.ObserveRequest(b.now, b.set.Limits.KeepaliveMs)
	b.tenantUsage.Add(r.tenant, usageDecay)
	b.classValue.ObserveRequest(r.class)
	b.retries.ObserveRequest(r.class, b.now)
	b.revalidate()
	b.queue = append(b.queue, r)
	if b.tooLate(r) || b.hintTooLong(r) {
		b.finishUnserved(r)
	}
}

func (b *Balancer) newRequest(ev *Event) *request {
	limit := b.set.Limits.MaxAttempts
	r := &request{
		id:          ev.Request,
		class:       ev.Class,
		tenant:      ev.Tenant,
		key:         ev.Key,
		bodyPending: ev.BodyIncomplete,
		maxAttempts: cmp.Or(min(max(ev.Attempts, 0), limit), limit),
	}
	if ev.HasHint {
		r.hint = arith.Finite(ev.HintMs)
	}
	return r
}

// hintTooLong reports whether the hinted work of a request is too long to meet its latency target on any
// server, in a class in which a late answer has no value. Such a request would only delay others.
func (b *Balancer) hintTooLong(r *request) bool {
	return r.hint > 0 && b.set.Classes[r.class].LateValueFraction == 0 &&
		minHintedTimeShare*b.answerTimes.HintedLatency(r.hint) > r.targetAt-b.now
}

// onStarted handles the start of a streamed answer.
func (b *Balancer) onStarted(ev *Event) {
	a := b.openAttempt(ev)
	if a == nil {
		return
	}
	r := a.r
	r.started = true
	a.s.lastContact = b.now
	r.targetAt = arith.Unmet(b.now, r.targetAt) // the first byte decides whether an answer is in time
	b.endWork(a)                                // the client sets the pace of the remaining bytes
	if !r.bodyPending {
		b.recordServed(a, b.now-a.sentAt) // with a pending body the answer time is unknown
	}
}

// onBodyComplete handles the end of a request body that was forwarded while it was received.
func (b *Balancer) onBodyComplete(ev *Event) {
	a := b.openAttempt(ev)
	if a == nil || !a.r.bodyPending {
		return
	}
	a.r.bodyPending = false
	a.sentAt = b.now
	b.startClock(a.r, ev.LeftMs, false)
	b.beginWork(a)
}

// openAttempt returns the attempt that an event names, or nil if it is unknown or its request is closed.
func (b *Balancer) openAttempt(ev *Event) *attempt {
	r := b.requests[ev.Request]
	if r == nil || r.closed || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) {
		return nil
	}
	return r.attempts[ev.Attempt]
}

// onDropped handles the disconnection of the client.
func (b *Balancer) onDropped(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || r.closed {
		return
	}
	b.unserved.Add(r.class, r.key, r.first, b.now)
	b.close(r)
}

// startClock starts the request's time now, with left ms until its deadline.
func (b *Balancer) startClock(r *request, left float64, retry bool) {
	c := &b.set.Classes[r.class]
	left = arith.Finite(left)
	r.arrived = b.now
	r.first = b.now
	r.retryAt = b.now
	r.deadline = b.now + left - min(b.set.RoundMs, left/4)
	if retry {
		r.first = b.unserved.TakeFirstArrival(r.class, r.key, r.arrived)
	}
	r.targetAt = min(r.first+c.LatencyTargetMs+c.LatencyTargetStretch*r.hint, r.deadline)
}

// beginWork adds an attempt to the load of its server.
func (b *Balancer) beginWork(a *attempt) {
	a.s.inFlight = append(a.s.inFlight, a)
	b.inFlight++
}

// endWork removes an attempt from the load of its server, if it is part of it.
func (b *Balancer) endWork(a *attempt) {
	if i := slices.Index(a.s.inFlight, a); i >= 0 {
		a.s.inFlight = slices.Delete(a.s.inFlight, i, i+1)
		b.inFlight--
	}
}

// value returns the value of the request per unit of server time.
func (b *Balancer) value(r *request) float64 {
	c := &b.set.Classes[r.class]
	v := b.classValue.MarginalValue(r.class)
	if b.now+b.expectedAnswerMs(r) > r.targetAt {
		v *= c.LateValueFraction + b.set.Prices.LateFail
	}
	// The tenant sends more than its portion of the requests.
	if t := r.tenant; t >= 0 && t < len(b.tenantUsage) &&
		b.tenantUsage[t] > overShareFactor*b.set.Tenants[t].QuotaShare {
		v *= b.set.OverQuotaValue
	}
	if b.set.ValueBy != "work" {
		v /= b.answerTimes.Mean(r.class)
	}
	return v
}

// latestUseful returns the time until which an answer to the request has any value, ms.
func (b *Balancer) latestUseful(r *request) float64 {
	if b.set.Classes[r.class].LateValueFraction > 0 {
		return r.deadline
	}
	return r.targetAt
}

// tooLate reports whether no server can answer the request in time, assuming that an answer takes at least
// half of the expected time.
func (b *Balancer) tooLate(r *request) bool {
	return b.now+b.expectedAnswerMs(r)/2 > b.latestUseful(r)
}

// minRemaining returns the least remaining time, in ms, with which the request may begin at the server: half
// of the mean answer time there. With the full mean, the rejected requests cost as much as was saved.
func (b *Balancer) minRemaining(s *server, r *request) float64 {
	if r.bodyPending {
		return 0 // the time begins when the body is complete
	}
	slow := max(s.latencyRatio/max(b.normalLatency.OverallMean, s.latencyRatio/maxSlowdown, 1e-9), 1)
	return slow * b.expectedAnswerMs(r) / 2
}

// expectedAnswerMs returns the mean answer time for the request, ms.
func (b *Balancer) expectedAnswerMs(r *request) float64 {
	return b.answerTimes.Expected(r.class, r.hint)
}

// cost returns the work of a request in units of the mean request, at least 1: hints are rough (i299663).
func (b *Balancer) cost(r *request) float64 {
	if r.hint > b.answerTimes.MeanHint {
		return r.hint / b.answerTimes.MeanHint
	}
	return 1
}
