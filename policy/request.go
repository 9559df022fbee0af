package policy

import (
	"cmp"
	"slices"

	"molepaddle/internal/decide/arith"
)

// minHintedTimeShare is the least part of its expected time that a hinted request must have left.
const minHintedTimeShare = 0.7

// overShareFactor is how far above its portion a tenant's share of the requests may be before they are worth
// less.
const overShareFactor = 1.1

// maxSlowdown bounds how many times as long as elsewhere an answer is believed to take at a server.
const maxSlowdown = 8.0

// attempt is one send of a request.
type attempt struct {
	r      *request
	s      *server
	index  int
	sentAt float64 // ms
	cost   float64
	alone  bool // no other attempt of this agent was in flight at its server
	done   bool
}

// request is one try of a client, kept until it is answered and no attempt is in flight.
type request struct {
	id     RequestID
	class  int
	tenant int
	key    uint64  // of the client; 0: none
	hash   uint64  // orders the servers for it
	hint   float64 // expected work, ms; 0: none

	// Times, ms.
	first    float64 // when the client's first try came, as far as known
	arrived  float64
	targetAt float64 // when its answer must have come to count as in time
	deadline float64 // with a margin taken off

	// Attempts.
	attempts    []*attempt
	maxAttempts int
	retryAt     float64 // when it may be sent again, having found no connection, ms
	inFlight    int     // attempts in flight
	maybeRan    int     // attempts whose request a server may have executed
	ranAt       float64 // when the first of these was sent, ms
	ranOn       *server // and where

	// Its last selection.
	affinityServers [affinityServers]*server // nearest to its key, as of epoch
	epoch           uint64
	tierWeight      float64 // of the tier
	value           float64 // what a unit of server time spent on it earns

	closed      bool
	started     bool // a streamed answer has begun and is the client's now
	bodyPending bool // its body is incomplete: its time has not begun
}

func (b *Balancer) onRequest(ev *Event) {
	if b.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(b.set.Classes) {
		b.end(&request{id: ev.Request}) // still owed an answer; nothing of it ran
		return
	}
	r := b.newRequest(ev)
	b.needs.ObserveHint(r.hint)
	b.startClock(r, ev.LeftMs, ev.Retry)
	r.hash = b.affinityHash(r.key)
	b.requests[r.id] = r
	b.requestRate.ObserveRequest(b.now, b.set.Limits.KeepaliveMs)
	b.usage.Add(r.tenant, usageDecay)
	b.classValue.ObserveRequest(r.class)
	b.retries.ObserveRequest(r.class, b.now)
	b.revalidate()
	b.queue = append(b.queue, r)
	if b.tooLate(r) || b.hintTooLong(r) {
		b.end(r)
	}
}

func (b *Balancer) newRequest(ev *Event) *request {
	limit := b.set.Limits.MaxAttempts
	r := &request{
		id:          ev.Request,
		class:       ev.Class,
		tenant:      ev.Tenant,
		key:         ev.Key,
		bodyPending: ev.Coming,
		maxAttempts: cmp.Or(min(max(ev.Tries, 0), limit), limit),
	}
	if ev.HasHint {
		r.hint = arith.Finite(ev.HintMs)
	}
	return r
}

// hintTooLong tells whether a request's hinted work can't be done in time anywhere, and an answer after its
// target earns nothing: it would only keep others waiting.
func (b *Balancer) hintTooLong(r *request) bool {
	return r.hint > 0 && b.set.Classes[r.class].LateValueFraction == 0 &&
		minHintedTimeShare*b.needs.HintedLatency(r.hint) > r.targetAt-b.now
}

// onStarted handles that a streamed answer has begun.
func (b *Balancer) onStarted(ev *Event) {
	a := b.openAttempt(ev)
	if a == nil {
		return
	}
	r := a.r
	r.started = true
	a.s.lastContact = b.now
	r.targetAt = arith.Met(b.now, r.targetAt) // an answer counts from its first byte
	b.endWork(a)                              // how slowly the rest is read says nothing of its server
	if !r.bodyPending {
		b.recordServed(a, b.now-a.sentAt) // else nothing says how long it took
	}
}

// onBodyComplete handles that the body of a request, which was sent on while it came, is complete.
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

// openAttempt returns the attempt that an event names, of a request that isn't closed; nil where there is
// none.
func (b *Balancer) openAttempt(ev *Event) *attempt {
	r := b.requests[ev.Request]
	if r == nil || r.closed || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) {
		return nil
	}
	return r.attempts[ev.Attempt]
}

// onDropped handles that the client left.
func (b *Balancer) onDropped(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || r.closed {
		return
	}
	b.unserved.Add(r.class, r.key, r.first, b.now)
	b.close(r)
}

// startClock has a request's time, of which so many ms are left, begin now.
func (b *Balancer) startClock(r *request, left float64, retry bool) {
	c := &b.set.Classes[r.class]
	left = arith.Finite(left)
	r.arrived = b.now
	r.first = b.now
	r.retryAt = b.now
	r.deadline = b.now + left - min(b.set.RoundMs, left/4)
	if retry {
		r.first = b.unserved.Recall(r.class, r.key, r.arrived)
	}
	r.targetAt = min(r.first+c.LatencyTargetMs+c.LatencyTargetStretch*r.hint, r.deadline)
}

// beginWork counts an attempt among those that its server works on.
func (b *Balancer) beginWork(a *attempt) {
	a.s.inFlight = append(a.s.inFlight, a)
	b.inFlight++
}

// endWork ends that; an attempt that isn't counted is ignored.
func (b *Balancer) endWork(a *attempt) {
	if i := slices.Index(a.s.inFlight, a); i >= 0 {
		a.s.inFlight = slices.Delete(a.s.inFlight, i, i+1)
		b.inFlight--
	}
}

// value returns what a unit of server time spent on the request earns.
func (b *Balancer) value(r *request) float64 {
	c := &b.set.Classes[r.class]
	v := b.classValue.MarginalValue(r.class)
	if b.now+b.expectedAnswerMs(r) > r.targetAt {
		v *= c.LateValueFraction + b.set.Prices.LateFail
	}
	// A tenant that sends more than its portion of the requests.
	if t := r.tenant; t >= 0 && t < len(b.usage) && b.usage[t] > overShareFactor*b.set.Tenants[t].QuotaShare {
		v *= b.set.OverQuotaValue
	}
	if b.set.ValueBy != "work" {
		v /= b.needs.Mean(r.class)
	}
	return v
}

// latestUseful returns until when an answer to the request earns something, ms.
func (b *Balancer) latestUseful(r *request) float64 {
	if b.set.Classes[r.class].LateValueFraction > 0 {
		return r.deadline
	}
	return r.targetAt
}

// tooLate tells whether no server can answer the request in time, by half of what an answer takes on the
// mean.
func (b *Balancer) tooLate(r *request) bool {
	return b.now+b.expectedAnswerMs(r)/2 > b.latestUseful(r)
}

// minRemaining returns the least time, ms, with which the request is begun at the server: half of what an
// answer there takes on the mean. At the whole mean as much was given up as was saved.
func (b *Balancer) minRemaining(s *server, r *request) float64 {
	if r.bodyPending {
		return 0 // its time begins when its body is complete
	}
	slow := max(s.latencyRatio/max(b.normalLatency.FleetMean, s.latencyRatio/maxSlowdown, 1e-9), 1)
	return slow * b.expectedAnswerMs(r) / 2
}

// expectedAnswerMs returns how long an answer to the request takes on the mean, ms.
func (b *Balancer) expectedAnswerMs(r *request) float64 { return b.needs.Expected(r.class, r.hint) }

// cost returns the work of a request in units of the mean one, and never less: hints are rough (i299663).
func (b *Balancer) cost(r *request) float64 {
	if r.hint > b.needs.MeanHint {
		return r.hint / b.needs.MeanHint
	}
	return 1
}
