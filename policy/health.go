package policy

import "molepaddle/internal/decide/arith"

// noteTierChange notes that a transition may have changed tiers.
func (b *Balancer) noteTierChange(tiers bool) {
	if tiers {
		b.epoch++
	}
}

func (b *Balancer) enter(s *server, to State) { b.noteTierChange(s.enter(b.now, to)) }

// recordOutcome takes what an attempt's end says about its server.
func (b *Balancer) recordOutcome(a *attempt, st Status, rtt float64) {
	s := a.s
	if st == OK || st == Error || st == Full {
		b.liftSuspicion(s.zone)
	}
	switch st {
	case OK:
		if b.earnSlowStartCredit(s, a.cost); !a.r.started && !a.r.bodyPending {
			b.recordServed(a, rtt)
		}
	case Error, Reset:
		s.lastContact = b.now
		if b.failsLikeFleet(s) {
			b.recheck(s)
		} else {
			b.demote(s, false)
		}
		s.failureShare += failureSmoothing * (1 - s.failureShare)
	case ConnectFailed:
		b.demote(s, true)
		if s.connectFailedAt == 0 {
			s.connectFailedAt = b.now
		}
	case Timeout:
		// One that answered others meanwhile is not to blame; it counts as slow.
		if s.lastContact > a.sentAt {
			b.needs.Took(a.r.hint, rtt)
			b.learnLatency(s, b.needs.Part(a.r.hint, rtt/b.set.Classes[a.r.class].AimMs))
		} else {
			b.demote(s, true)
		}
	case Full:
		s.lastContact = b.now
		b.shrinkWindow(s, 0.7, 1)
	}
}

func (b *Balancer) recordServed(a *attempt, rtt float64) {
	s, r := a.s, a.r
	s.failureShare -= failureSmoothing * s.failureShare
	b.needs.Took(r.hint, rtt)
	b.recordContact(s)
	s.rtt = arith.Mean(s.rtt, rtt, smoothing)
	c := &b.set.Classes[r.class]
	b.needs.Served(r.class, rtt, 2*c.AimMs)
	if b.now <= r.targetAt {
		b.worth.Won(r.class)
	}
	x := b.needs.Part(r.hint, rtt/c.AimMs)
	b.calm.Answered(x, a.alone)
	b.learnLatency(s, x)
	limit := b.calm.Limit(b.ramp(s))
	if b.ramp(s) < 1 {
		b.cold.Answered(x < limit)
	}
	if s.state == Unhealthy && a.sentAt < s.since && !s.unresponsive {
		return // sent before the failure: says nothing about what came after
	}
	b.noteTierChange(s.Served(b.now))
	if s.unresponsive {
		s.unresponsive, s.strikes = false, max(s.strikes-1, 0)
	}
	if s.servedSinceStrike++; s.servedSinceStrike >= 16*s.strikes {
		s.servedSinceStrike, s.strikes = 0, max(s.strikes-1, 0)
	}
	switch {
	case s.latencyRatio > limit && b.now-s.windowCutAt > rtt:
		least := 1.0
		if s.latencyRatio > crowdedFactor*limit {
			least = minWindow
		}
		b.shrinkWindow(s, 0.85, least)
	case s.latencyRatio < limit && float64(len(s.inFlight)+2) > s.window && b.calm.Learnt():
		s.window += min(1/s.window, s.window)
	}
}

// recordContact notes an answer. A server that no connect reached for long may be a new process, cold
// and not yet listed: it is ramped as if it had started now. Time-outs alone don't tell (i228a10).
func (b *Balancer) recordContact(s *server) {
	if s.connectFailedAt > 0 && b.now-s.connectFailedAt > b.set.Contract.TipAfterMs {
		s.startedAt, s.window, s.slowStartCredit = b.now, 1, b.rng.Float64()
	}
	s.lastContact, s.connectFailedAt = b.now, 0
}

func (b *Balancer) learnLatency(s *server, x float64) {
	s.samples++
	s.latencyRatio = arith.Mean(s.latencyRatio, x, max(smoothing, 1/float64(s.samples)))
	b.weights.Answered(s.zone, s.kind, x)
}

func (b *Balancer) shrinkWindow(s *server, by, least float64) {
	s.window, s.windowCutAt = min(s.window, max(s.window*by, least)), b.now
}

// failsLikeFleet tells whether the server fails no more than the fleet does (the median of the usable ones'
// shares), as when a network breaks connections at random: held to a strike each all were out at once.
func (b *Balancer) failsLikeFleet(s *server) bool {
	b.shareScratch = b.shareScratch[:0]
	for _, o := range b.servers {
		if o.usable {
			b.shareScratch = append(b.shareScratch, o.failureShare)
		}
	}
	median := arith.Median(b.shareScratch)
	return median >= fleetFailureShare && s.failureShare <= 3*median
}

// recheck demotes a server and has it validated at once, without a strike.
func (b *Balancer) recheck(s *server) {
	if s.state != Unhealthy {
		b.noteTierChange(s.Demote(b.now))
		s.unresponsive, s.servedSinceStrike = false, 0
		b.noteTierChange(s.Refresh(b.now, 0))
	}
	b.refetch()
}

// demote makes a server Unhealthy; failures of one moment count as one strike.
func (b *Balancer) demote(s *server, silent bool) {
	if s.state != Unhealthy {
		s.strikes = min(s.strikes+1, maxStrikes)
		b.noteTierChange(s.Demote(b.now))
		s.unresponsive, s.servedSinceStrike, s.latencyRatio, s.samples = silent, 0, 0, 0
		s.window = max(s.window/2, 1)
	}
	b.refetch()
}

// unhealthyHold is how long a server stays Unhealthy before it is validated again: one aim, or the time
// in which
// the agent comes by each server if that is longer and a check costs a request (id753de), doubled with each
// further strike. While the others have no room there is none, but for one that answers nothing.
func (b *Balancer) unhealthyHold(s *server) float64 {
	if b.saturated && !s.unresponsive {
		return 0
	}
	hold := b.minLatencyTarget
	if !b.set.Limits.Probing {
		hold = max(hold, b.pace.Round(b.set.Limits.KeepaliveMs, b.subset()))
	}
	return hold * float64(int(1)<<max(s.strikes-1, 0))
}

// demoteUnresponsive demotes servers that took attempts and have answered nothing for several answer
// times: hung or gone silent, they would stay Connected. Zones of them are doubted as one.
func (b *Balancer) demoteUnresponsive() {
	for _, s := range b.servers {
		if len(s.inFlight) == 0 {
			continue
		}
		a, mean := s.inFlight[0], b.expectedAnswerMs(s.inFlight[0].r)
		b.doubt.Waits(s.zone, a.sentAt, (b.now-a.sentAt)/mean)
		quiet := b.now - max(s.lastContact, a.sentAt)
		if s.state != Unhealthy && quiet >= mean*8/float64(min(len(s.inFlight), 3)) {
			b.demote(s, true)
		}
	}
	b.noteTierChange(b.doubt.Judge(b.now, b.minLatencyTarget))
}

// liftSuspicion takes that a zone has answered: silence of its servers while it was doubted was the way's.
func (b *Balancer) liftSuspicion(zone int) {
	if since, lifted := b.doubt.Answered(zone, b.now); lifted {
		for _, s := range b.servers {
			if s.zone == zone && s.unresponsive && s.since >= since-b.minLatencyTarget {
				b.noteTierChange(s.Refresh(b.now, 0))
			}
		}
	}
}

// revalidate, on each request, refreshes servers that were Unhealthy long enough to pending.
func (b *Balancer) revalidate() {
	for _, s := range b.servers {
		if s.state == Unhealthy && s.usable && len(s.inFlight) == 0 && s.Refresh(b.now, b.unhealthyHold(s)) {
			b.epoch++
			b.refetch()
		}
		pending := s.state == UnhealthyPending && s.usable
		if pending && b.set.Limits.Probing && !s.probing && b.probes < maxProbes {
			s.probing = true
			b.probes++
			b.emit(Action{Kind: ActProbe, Server: s.id})
		}
	}
}

func (b *Balancer) onProbed(ev *Event) {
	if s := b.byAddr[ev.Server]; s != nil && s.probing {
		s.probing = false
		b.probes--
		if s.state == UnhealthyPending && ev.Status == OK {
			b.recordContact(s)
			b.noteTierChange(s.Probed(b.now, true))
		} else if s.state == UnhealthyPending && ev.Status != Full {
			b.demote(s, true)
		}
	}
}
