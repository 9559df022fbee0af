package policy

import (
	"math"
	"slices"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/settings"
)

// retryAfterJitter is the part of the advised time until a retry that is left to chance.
const retryAfterJitter = 0.5

// maySend guards all attempts: a request goes to usable servers only, one attempt at a time, within its
// deadline and its number of attempts, and again to the same server only where there is no other. What may
// have run goes again only as mayRepeat allows. Capacity is hasCapacity's.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.usable || r.closed || r.started || r.inFlight > 0 || b.now >= r.deadline || b.now < r.retryAt ||
		len(r.attempts) >= r.maxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if a.s == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	if r.maybeRan == 0 {
		return true
	}
	return b.mayRepeat(r, s)
}

// mayRepeat tells whether a request that may have run may run again, at this server. What has a key guards
// itself, within the time and among the servers that share the key's memory; all else would run twice.
func (b *Balancer) mayRepeat(r *request, s *server) bool {
	c := &b.set.Classes[r.class]
	switch c.Idempotency {
	case settings.Idempotent:
		return true
	case settings.Deduplicated:
		if b.now-r.ranAt > c.DedupTTLMs-2*b.set.RoundMs {
			return false
		}
		return c.DedupScope == settings.DedupAll ||
			c.DedupScope == settings.DedupZone && s.zone == r.ranOn.zone ||
			c.DedupScope == settings.DedupCell && s.cell == r.ranOn.cell
	}
	return false
}

// send makes an attempt of the request at the server; false where maySend forbids it.
func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	a := &attempt{
		r:      r,
		s:      s,
		index:  len(r.attempts),
		alone:  len(s.inFlight) == 0,
		sentAt: b.now,
		cost:   b.cost(r),
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	begin := b.latestUseful(r) - b.minRemaining(s, r) // connecting may take all that is left
	if r.maybeRan == 0 {
		r.ranAt = b.now
		r.ranOn = s
	} else if c := &b.set.Classes[r.class]; c.Idempotency == settings.Deduplicated {
		begin = min(begin, r.ranAt+c.DedupTTLMs-2*b.set.RoundMs) // and outlast the key's memory
	}
	begin = max(begin-b.now, math.SmallestNonzeroFloat64)
	r.maybeRan++
	if !r.bodyPending { // a server begins when the body is complete
		b.beginWork(a)
	}
	if s.sentAt > 0 {
		s.gap = arith.Mean(s.gap, b.now-s.sentAt, smoothing)
	}
	s.sentAt = b.now
	b.zoneSuspicion.Sent(s.zone, b.now, b.minLatencyTarget)
	if b.ramp(s) < 1 {
		s.slowStartCredit -= a.cost
	}
	b.emit(Action{
		Kind:    ActSend,
		Request: r.id,
		Server:  s.id,
		Ms:      r.deadline - b.now,
		BeginMs: begin,
	})
	return true
}

// end guards all final answers but served ones: a refusal where a retry by the client is harmless, else a
// failure.
func (b *Balancer) end(r *request) {
	if r.closed || r.started {
		return
	}
	b.unserved.Add(r.class, r.key, r.first, b.now)
	c := &b.set.Classes[r.class]
	harmless := r.maybeRan == 0 || c.Idempotency == settings.Idempotent ||
		c.Idempotency == settings.Deduplicated && c.DedupScope == settings.DedupAll
	b.close(r)
	if !harmless {
		b.emit(Action{Kind: ActFail, Request: r.id})
		return
	}
	// Those refused in one moment must not all come back in one.
	retryAfter := b.set.Limits.MaxRetryAfterMs * (1 - retryAfterJitter*b.rng.Float64())
	b.emit(Action{Kind: ActRefuse, Request: r.id, Ms: retryAfter})
}

// close ends a request. It is forgotten once no attempt of it is in flight; those in flight are cancelled
// where that is allowed.
func (b *Balancer) close(r *request) {
	r.closed = true
	if i := slices.Index(b.queue, r); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.done && b.set.Limits.Cancellation {
			b.emit(Action{Kind: ActCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}

// onOutcome handles the end of an attempt.
func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return
	}
	a := r.attempts[ev.Attempt]
	a.done = true
	r.maxAttempts -= ev.Tries // a gateway that it went through made more of it
	if ev.Status == NoWay && r.maxAttempts < MostTries {
		b.allowAnother(r)
	}
	r.inFlight--
	b.endWork(a)
	if ev.Status.NeverRan() {
		r.maybeRan--
	}
	b.closeIdle(a.s)
	b.throttleBy(r, ev.Status)
	b.recordOutcome(a, ev.Status, arith.Finite(ev.LatencyMs))
	if r.closed || r.started || ev.Final || ev.Status == OK {
		b.close(r)
	} else {
		b.retryOrEnd(r, ev.Status)
	}
}

// allowAnother allows a request one more attempt, since one found no connection and went nowhere: at the
// other servers at once, and at all of them again after a pause.
func (b *Balancer) allowAnother(r *request) {
	rounds := len(r.attempts) / max(len(b.servers), 1)
	r.maxAttempts++
	r.retryAt = b.now + b.set.Classes[r.class].LatencyTargetMs/MostTries*float64(rounds)
}

// closeIdle has the idle connections to a server closed where keeping them costs more than opening others.
func (b *Balancer) closeIdle(s *server) {
	if len(s.inFlight) == 0 && b.requestRate.ShouldCloseIdle(&b.set, b.now, s.gap, len(b.servers)) {
		b.emit(Action{Kind: ActClose, Server: s.id})
	}
}

// throttleBy has the throttle count the end of an attempt. With a request or two in flight at each of a
// thousand agents no server's window holds back the load: each rejected one went on to the next, until
// requests were sent nine times. Where nothing was tried, or a client left in time, it isn't counted: many
// clients that left closed the throttle for seconds.
func (b *Balancer) throttleBy(r *request, status Status) {
	if status == NoWay || r.closed && b.now <= r.targetAt {
		return
	}
	b.throttle.ObserveAttempt(b.now, b.set.Classes[r.class].EarnedFraction(status == OK, b.now <= r.targetAt))
}

// retryOrEnd queues an unanswered request for another server where class, time and retry budget allow, or
// ends it.
func (b *Balancer) retryOrEnd(r *request, why Status) {
	c := &b.set.Classes[r.class]
	repeatable := r.maybeRan == 0 || c.Idempotency == settings.Idempotent ||
		c.Idempotency == settings.Deduplicated
	reached := why != ConnectFailed && why != NoWay // else no server had any of it
	if !repeatable || len(r.attempts) >= r.maxAttempts || why == Moot || b.tooLate(r) ||
		reached && !b.retries.Acquire(r.class, b.now, b.rng.Float64()) {
		b.end(r)
		return
	}
	b.queue = append(b.queue, r)
}
