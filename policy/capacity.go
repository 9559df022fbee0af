package policy

import (
	"molepaddle/internal/decide/cold"
)

// maxSlowStartCredit is what a server's slow-start credit adds up to at the most: all agents may spend theirs
// at once.
const maxSlowStartCredit = 1.0

// hasCapacity tells whether a server may get another attempt of the request: its window bounds what is in
// flight, to one until it is validated, and in slow start its credit does.
func (b *Balancer) hasCapacity(s *server, r *request) bool {
	if s.state >= UnhealthyPending {
		if len(s.inFlight) > 0 {
			return false
		}
	} else if len(s.inFlight) >= max(int(s.window), 1) || s.window < 1 && b.now-s.sentAt < s.rtt/s.window {
		// A window under one is kept by pausing: of many agents even one attempt each can be too much.
		return false
	}
	switch {
	case b.ramp(s) == 1 || s.slowStartCredit >= b.cost(r):
		return true
	case b.warmWeight() > 0:
		return false
	case !b.slowStart.HasBaseline():
		v := cold.UnmeasuredServer{
			InFlight:        len(s.inFlight),
			Window:          s.window,
			Jitter:          s.slowStartCredit,
			MeanLatency:     s.rtt,
			ExpectedLatency: b.needs.Mean(r.class),
			LatencyTarget:   b.set.Classes[r.class].LatencyTargetMs,
			Replicas:        b.set.Replicas,
			SinceListed:     b.now - s.since,
			SinceSent:       b.now - s.sentAt,
			Untried:         s.sentAt == 0,
		}
		return v.HasCapacity()
	}
	return b.slowStart.WorkBudget(b.now-s.sentAt, s.weight, b.ramp(s)) >= b.cost(r)
}

// ramp returns the part of its capacity, 0 to 1, that a server has by contract in slow start; 1 after it.
func (b *Balancer) ramp(s *server) float64 {
	age := b.now - s.startedAt
	return cold.CapacityFraction(&b.set.Contract, age, s.startedAt, s.listedAt)
}

// earnSlowStartCredit takes the work that a server past slow start has served, and gives those in slow start
// credit for their share of as much, by weight and ramp, so that all agents together keep to what they can
// do. What was rejected earns nothing: in a storm it made their shares ninefold (i86bcad).
func (b *Balancer) earnSlowStartCredit(s *server, cost float64) {
	if b.ramp(s) < 1 {
		return
	}
	warm := b.warmWeight() * float64(b.subset()) / float64(len(b.servers)) // of its subset
	b.slowStart.ObserveServed(b.now, cost, warm)
	for _, o := range b.servers {
		if ramp := b.ramp(o); ramp < 1 && warm > 0 {
			earned := cost * b.slowStart.Fraction(ramp) * o.weight / warm
			o.slowStartCredit = min(o.slowStartCredit+earned, maxSlowStartCredit)
		}
	}
}

// warmWeight returns the weight of the top tier's servers past slow start, summed up once a moment.
func (b *Balancer) warmWeight() float64 {
	if b.warmAt == b.now && b.warmEpoch == b.epoch {
		return b.warm
	}
	b.warm = 0
	b.warmAt = b.now
	b.warmEpoch = b.epoch
	for _, s := range b.servers {
		if s.usable && s.state <= Unknown && b.ramp(s) == 1 {
			b.warm += s.weight
		}
	}
	return b.warm
}
