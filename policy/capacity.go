package policy

import (
	"molepaddle/internal/decide/cold"
)

// maxSlowStartCredit bounds a server's slow-start credit, since all agents may spend theirs at once.
const maxSlowStartCredit = 1.0

// hasCapacity reports whether the server may get another attempt, for this request. Attempts in flight are
// bounded by the server's window, and by one until it is validated; in slow start its credit is a further
// bound.
func (b *Balancer) hasCapacity(s *server, r *request) bool {
	if s.state >= UnhealthyPending {
		if len(s.inFlight) > 0 {
			return false
		}
	} else if len(s.inFlight) >= max(int(s.window), 1) || s.window < 1 && b.now-s.sentAt < s.rtt/s.window {
		// A window below one spaces attempts out: with many agents even one attempt each can be too much.
		return false
	}
	switch {
	case b.slowStartFactor(s) == 1 || s.slowStartCredit >= b.cost(r):
		return true
	case b.warmWeight() > 0:
		return false
	case !b.slowStart.HasBaseline():
		v := cold.UnmeasuredServer{
			InFlight:        len(s.inFlight),
			Window:          s.window,
			Jitter:          s.slowStartCredit,
			MeanLatency:     s.rtt,
			ExpectedLatency: b.answerTimes.Mean(r.class),
			LatencyTarget:   b.set.Classes[r.class].LatencyTargetMs,
			Replicas:        b.set.Replicas,
			SinceListed:     b.now - s.since,
			SinceSent:       b.now - s.sentAt,
			Untried:         s.sentAt == 0,
		}
		return v.HasCapacity()
	}
	return b.slowStart.WorkBudget(b.now-s.sentAt, s.weight, b.slowStartFactor(s)) >= b.cost(r)
}

// slowStartFactor returns the share of its capacity, 0 to 1, that a server in slow start has by the
// contract; 1 after slow start.
func (b *Balancer) slowStartFactor(s *server) float64 {
	age := b.now - s.startedAt
	return cold.CapacityFraction(&b.set.Contract, age, s.startedAt, s.listedAt)
}

// earnSlowStartCredit records work served by a server past slow start and gives each server in slow start
// credit for its share of that work, by weight and slow-start factor, so that all agents together stay within
// its capacity. Rejected attempts earn no credit: in a retry storm they raised the shares ninefold (i86bcad).
func (b *Balancer) earnSlowStartCredit(s *server, cost float64) {
	if b.slowStartFactor(s) < 1 {
		return
	}
	warm := b.warmWeight() * float64(b.subset()) / float64(len(b.servers)) // of the agent's subset
	b.slowStart.ObserveServed(b.now, cost, warm)
	for _, o := range b.servers {
		if slowStartFactor := b.slowStartFactor(o); slowStartFactor < 1 && warm > 0 {
			earned := cost * b.slowStart.Fraction(slowStartFactor) * o.weight / warm
			o.slowStartCredit = min(o.slowStartCredit+earned, maxSlowStartCredit)
		}
	}
}

// warmWeight returns the total weight of the top tier's servers past slow start, cached by time and epoch.
func (b *Balancer) warmWeight() float64 {
	if b.warmAt == b.now && b.warmEpoch == b.epoch {
		return b.warm
	}
	b.warm = 0
	b.warmAt = b.now
	b.warmEpoch = b.epoch
	for _, s := range b.servers {
		if s.usable && s.state <= Unknown && b.slowStartFactor(s) == 1 {
			b.warm += s.weight
		}
	}
	return b.warm
}
