package policy

import (
	"math"
	"slices"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/settings"
)

// retryAfterJitter is the random part of the retry-after time.
const retryAfterJitter = 0.5

// maySend reports whether an attempt of the request at the server is allowed. Every attempt must pass: the
// server is usable, no other attempt is in flight, the deadline and the number of attempts are kept, a server
// is used twice only if there are no more servers than attempts, and a request that may have run is repeated
// only as mayRepeat allows. Capacity is checked by hasCapacity.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.usable || r.closed || r.started || r.inFlight > 0 || b.now >= r.deadline || b.now < r.retryAt ||
		len(r.attempts) >= r.maxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if a.s == s && len(b.servers) > len(r.attempts) {
			return false // retries go to other servers
		}
	}
	if r.maybeRan == 0 {
		return true
	}
	return b.mayRepeat(r, s)
}

// mayRepeat reports whether a request that may have run may run again at this server. A request with an
// idempotency key is deduplicated by the servers of its group while they remember the key; any other that is
// not idempotent would run twice.
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

// send starts an attempt of the request at the server; it returns false if maySend forbids it.
func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	a := &attempt{
		r:            r,
		s:            s,
		index:        len(r.attempts),
		soleInFlight: len(s.inFlight) == 0,
		sentAt:       b.now,
		cost:         b.cost(r),
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	begin := b.latestUseful(r) - b.minRemaining(s, r) // latest start, as connecting may be slow
	if r.maybeRan == 0 {
		r.ranAt = b.now
		r.ranOn = s
	} else if c := &b.set.Classes[r.class]; c.Idempotency == settings.Deduplicated {
		begin = min(begin, r.ranAt+c.DedupTTLMs-2*b.set.RoundMs) // a retry must begin before the key expires
	}
	begin = max(begin-b.now, math.SmallestNonzeroFloat64)
	r.maybeRan++
	if !r.bodyPending { // the server starts work when the body is complete
		b.beginWork(a)
	}
	if s.sentAt > 0 {
		s.gap = arith.Mean(s.gap, b.now-s.sentAt, smoothing)
	}
	s.sentAt = b.now
	b.zoneSuspicion.Sent(s.zone, b.now, b.minLatencyTarget)
	if b.slowStartFactor(s) < 1 {
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

// finishUnserved closes a request with a final answer that no server gave: a refusal if a retry by the client
// is harmless, a failure if not.
func (b *Balancer) finishUnserved(r *request) {
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
	// Clients refused at the same time must not all retry at the same time.
	retryAfter := b.set.Limits.MaxRetryAfterMs * (1 - retryAfterJitter*b.rng.Float64())
	b.emit(Action{Kind: ActRefuse, Request: r.id, Ms: retryAfter})
}

// close closes a request and removes it once none of its attempts is in flight. Attempts in flight are
// cancelled if the settings allow it.
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
	r.maxAttempts -= ev.Attempts // further attempts made by a gateway on the path
	if ev.Status == NoConnection && r.maxAttempts < MaxUnconnectedAttempts {
		b.allowAnother(r)
	}
	r.inFlight--
	b.endWork(a)
	if ev.Status.NeverRan() {
		r.maybeRan--
	}
	b.closeIdle(a.s)
	b.updateThrottle(r, ev.Status)
	b.recordOutcome(a, ev.Status, arith.Finite(ev.LatencyMs))
	if r.closed || r.started || ev.Final || ev.Status == OK {
		b.close(r)
	} else {
		b.retryOrEnd(r, ev.Status)
	}
}

// allowAnother grants a request one more attempt in place of one that found no connection: at once during the
// first round over the servers, then with a delay that grows with each round.
func (b *Balancer) allowAnother(r *request) {
	rounds := len(r.attempts) / max(len(b.servers), 1)
	r.maxAttempts++
	r.retryAt = b.now + b.set.Classes[r.class].LatencyTargetMs/MaxUnconnectedAttempts*float64(rounds)
}

// closeIdle requests the closing of the idle connections to a server if keeping them costs more than opening
// new ones.
func (b *Balancer) closeIdle(s *server) {
	if len(s.inFlight) == 0 && b.requestRate.ShouldCloseIdle(&b.set, b.now, s.gap, len(b.servers)) {
		b.emit(Action{Kind: ActClose, Server: s.id})
	}
}

// updateThrottle records the end of an attempt with the throttle. With one or two requests in flight at each
// of a thousand agents no server's window limits the load: rejected requests moved from server to server and
// were sent up to nine times. Attempts without a connection, and those of clients that disconnected in time,
// are not recorded: many such disconnections closed the throttle for seconds.
func (b *Balancer) updateThrottle(r *request, status Status) {
	if status == NoConnection || r.closed && b.now <= r.targetAt {
		return
	}
	b.throttle.ObserveAttempt(b.now, b.set.Classes[r.class].EarnedFraction(status == OK, b.now <= r.targetAt))
}

// retryOrEnd queues an unanswered request for another server if its class, the remaining time and the retry
// budget allow, and otherwise finishes it.
func (b *Balancer) retryOrEnd(r *request, why Status) {
	c := &b.set.Classes[r.class]
	repeatable := r.maybeRan == 0 || c.Idempotency == settings.Idempotent ||
		c.Idempotency == settings.Deduplicated
	reached := why != ConnectFailed && why != NoConnection // other attempts use no retry budget
	if !repeatable || len(r.attempts) >= r.maxAttempts || why == Abandoned || b.tooLate(r) ||
		reached && !b.retries.Acquire(r.class, b.now, b.rng.Float64()) {
		b.finishUnserved(r)
		return
	}
	b.queue = append(b.queue, r)
}
