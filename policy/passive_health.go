package policy

import "molepaddle/internal/decide/arith"

const (
	// failureSmoothing is an attempt's weight in its server's share of failures.
	failureSmoothing = 0.05
	// fleetFailureShare is the least median of these shares with which failures are the fleet's.
	fleetFailureShare = 0.01
	// fleetFailureFactor is how far above that median a server's share may be.
	fleetFailureFactor = 3
	// maxStrikes bounds the doubling of a failing server's time in Unhealthy.
	maxStrikes = 5
	// strikeAnswers is how many answers take one of a server's strikes away, for each that it has.
	strikeAnswers = 16
	// maxProbes bounds the probes in flight at once.
	maxProbes = 2
	// unresponsiveTimes is how many mean answer times a server may stay silent with one attempt in flight;
	// with more, up to unresponsiveAttempts, it is that many times fewer.
	unresponsiveTimes    = 8
	unresponsiveAttempts = 3

	// rejectedWindowFactor is what a server's window shrinks by when it rejects an attempt, and
	// slowWindowFactor when it is slow.
	rejectedWindowFactor = 0.7
	slowWindowFactor     = 0.85
	// leastWindow is what a window shrinks to.
	leastWindow = 1.0
	// minWindow is what it shrinks to at the most crowded server: enough to see when it no longer is.
	minWindow = 0.1
	// crowdedFactor is how far above its limit the latency of the most crowded servers is.
	crowdedFactor = 2.5
	// maxAnswerTargets is how many latency targets an answer time counts as at the most.
	maxAnswerTargets = 2
)

// noteTierChange counts a transition that may have changed tiers.
func (b *Balancer) noteTierChange(tiers bool) {
	if tiers {
		b.epoch++
	}
}

// enter puts a server into a state.
func (b *Balancer) enter(s *server, to State) { b.noteTierChange(s.enter(b.now, to)) }

// recordOutcome takes what the end of an attempt says of its server.
func (b *Balancer) recordOutcome(a *attempt, st Status, rtt float64) {
	s := a.s
	if st == OK || st == Error || st == Full {
		b.liftSuspicion(s.zone)
	}
	switch st {
	case OK:
		b.earnSlowStartCredit(s, a.cost)
		if !a.r.started && !a.r.bodyPending {
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
		if s.lastContact <= a.sentAt {
			b.demote(s, true)
			break
		}
		// One that answered others meanwhile is not to blame; it counts as slow.
		b.needs.Took(a.r.hint, rtt)
		b.learnLatency(s, b.needs.Part(a.r.hint, rtt/b.set.Classes[a.r.class].AimMs))
	case Full:
		s.lastContact = b.now
		b.shrinkWindow(s, rejectedWindowFactor, leastWindow)
	}
}

// recordServed takes an answer that came after rtt ms.
func (b *Balancer) recordServed(a *attempt, rtt float64) {
	s, r := a.s, a.r
	s.failureShare -= failureSmoothing * s.failureShare
	b.needs.Took(r.hint, rtt)
	b.recordContact(s)
	s.rtt = arith.Mean(s.rtt, rtt, smoothing)
	c := &b.set.Classes[r.class]
	b.needs.Served(r.class, rtt, maxAnswerTargets*c.AimMs)
	if b.now <= r.targetAt {
		b.classValue.Won(r.class)
	}
	ratio := b.needs.Part(r.hint, rtt/c.AimMs)
	b.normalLatency.Answered(ratio, a.alone)
	b.learnLatency(s, ratio)
	limit := b.normalLatency.Limit(b.ramp(s))
	if b.ramp(s) < 1 {
		b.slowStart.Answered(ratio < limit)
	}
	if s.state == Unhealthy && a.sentAt < s.since && !s.unresponsive {
		return // sent before the failure: says nothing of what came after
	}
	b.noteTierChange(s.Served(b.now))
	s.forgiveStrikes()
	b.resizeWindow(s, limit, rtt)
}

// forgiveStrikes takes an answer, of which enough take a strike away, as does one after the server was
// unresponsive.
func (s *server) forgiveStrikes() {
	if s.unresponsive {
		s.unresponsive = false
		s.strikes = max(s.strikes-1, 0)
	}
	s.servedSinceStrike++
	if s.servedSinceStrike >= strikeAnswers*s.strikes {
		s.servedSinceStrike = 0
		s.strikes = max(s.strikes-1, 0)
	}
}

// resizeWindow shrinks the window of a server whose latency is above the limit, but not twice for what was in
// flight at once, and widens it where it is below and the window is nearly full.
func (b *Balancer) resizeWindow(s *server, limit, rtt float64) {
	switch {
	case s.latencyRatio > limit && b.now-s.windowCutAt > rtt:
		least := leastWindow
		if s.latencyRatio > crowdedFactor*limit {
			least = minWindow
		}
		b.shrinkWindow(s, slowWindowFactor, least)
	case s.latencyRatio < limit && float64(len(s.inFlight)+2) > s.window && b.normalLatency.Learnt():
		s.window += min(1/s.window, s.window)
	}
}

// recordContact takes that a server answered. One that no connect reached for long may be a new process that
// isn't listed yet: it is in slow start as if it had started now. Time-outs alone don't tell (i228a10).
func (b *Balancer) recordContact(s *server) {
	if s.connectFailedAt > 0 && b.now-s.connectFailedAt > b.set.Contract.TipAfterMs {
		s.startedAt = b.now
		s.window = restartWindow
		s.slowStartCredit = b.rng.Float64()
	}
	s.lastContact = b.now
	s.connectFailedAt = 0
}

// learnLatency takes an answer time as a part of the latency target.
func (b *Balancer) learnLatency(s *server, ratio float64) {
	s.samples++
	s.latencyRatio = arith.Mean(s.latencyRatio, ratio, max(smoothing, 1/float64(s.samples)))
	b.weights.Answered(s.zone, s.kind, ratio)
}

// shrinkWindow shrinks a server's window by a factor, to least at the most.
func (b *Balancer) shrinkWindow(s *server, factor, least float64) {
	s.window = min(s.window, max(s.window*factor, least))
	s.windowCutAt = b.now
}

// failsLikeFleet tells whether the server fails no more than the fleet does (the median of the usable ones'
// shares), as when a network breaks connections at random: with a strike for each failure all of them were
// Unhealthy at once.
func (b *Balancer) failsLikeFleet(s *server) bool {
	b.shareScratch = b.shareScratch[:0]
	for _, o := range b.servers {
		if o.usable {
			b.shareScratch = append(b.shareScratch, o.failureShare)
		}
	}
	median := arith.Median(b.shareScratch)
	return median >= fleetFailureShare && s.failureShare <= fleetFailureFactor*median
}

// recheck demotes a server without a strike and has it await validation at once.
func (b *Balancer) recheck(s *server) {
	if s.state != Unhealthy {
		b.noteTierChange(s.Demote(b.now))
		s.unresponsive = false
		s.servedSinceStrike = 0
		b.noteTierChange(s.Refresh(b.now, 0))
	}
	b.refetch()
}

// demote makes a server Unhealthy; unresponsive tells that it didn't answer. Failures of one moment count as
// one strike.
func (b *Balancer) demote(s *server, unresponsive bool) {
	if s.state != Unhealthy {
		s.strikes = min(s.strikes+1, maxStrikes)
		b.noteTierChange(s.Demote(b.now))
		s.unresponsive = unresponsive
		s.servedSinceStrike = 0
		s.latencyRatio = 0
		s.samples = 0
		s.window = max(s.window/2, leastWindow)
	}
	b.refetch()
}

// unhealthyHold returns how long a server stays Unhealthy before it is validated again, ms: the least latency
// target, or the time in which the agent sends to each server once if that is longer and a check costs a
// request (id753de), doubled with each further strike. While the others have no capacity it is no time, but
// for one that is unresponsive.
func (b *Balancer) unhealthyHold(s *server) float64 {
	if b.saturated && !s.unresponsive {
		return 0
	}
	hold := b.minLatencyTarget
	if !b.set.Limits.Probing {
		hold = max(hold, b.requestRate.Round(b.set.Limits.KeepaliveMs, b.subset()))
	}
	return hold * float64(int(1)<<max(s.strikes-1, 0))
}

// demoteUnresponsive demotes servers that have attempts in flight and have answered nothing for several
// answer times: they would stay Connected. Whole zones of them are suspected to be out of reach.
func (b *Balancer) demoteUnresponsive() {
	for _, s := range b.servers {
		if len(s.inFlight) == 0 {
			continue
		}
		oldest := s.inFlight[0]
		mean := b.expectedAnswerMs(oldest.r)
		b.zoneSuspicion.AddWaiting(s.zone, oldest.sentAt, (b.now-oldest.sentAt)/mean)
		quiet := b.now - max(s.lastContact, oldest.sentAt)
		attempts := float64(min(len(s.inFlight), unresponsiveAttempts))
		if s.state != Unhealthy && quiet >= mean*unresponsiveTimes/attempts {
			b.demote(s, true)
		}
	}
	b.noteTierChange(b.zoneSuspicion.Evaluate(b.now, b.minLatencyTarget))
}

// liftSuspicion takes that a zone has answered: while it was suspected its servers were silent because of the
// path to them.
func (b *Balancer) liftSuspicion(zone int) {
	since, lifted := b.zoneSuspicion.Answered(zone, b.now)
	if !lifted {
		return
	}
	for _, s := range b.servers {
		if s.zone == zone && s.unresponsive && s.since >= since-b.minLatencyTarget {
			b.noteTierChange(s.Refresh(b.now, 0))
		}
	}
}

// revalidate has servers that were Unhealthy long enough await validation, and probes them where that is
// allowed. It runs with each request.
func (b *Balancer) revalidate() {
	for _, s := range b.servers {
		if s.state == Unhealthy && s.usable && len(s.inFlight) == 0 && s.Refresh(b.now, b.unhealthyHold(s)) {
			b.epoch++
			b.refetch()
		}
		pending := s.state == UnhealthyPending && s.usable
		if pending && b.set.Limits.Probing && !s.probing && b.probesInFlight < maxProbes {
			s.probing = true
			b.probesInFlight++
			b.emit(Action{Kind: ActProbe, Server: s.id})
		}
	}
}

// onProbed handles the end of a probe. One that the server rejected says nothing of its health.
func (b *Balancer) onProbed(ev *Event) {
	s := b.byAddr[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.probesInFlight--
	if s.state != UnhealthyPending {
		return
	}
	switch ev.Status {
	case OK:
		b.recordContact(s)
		b.noteTierChange(s.Probed(b.now, true))
	case Full:
	default:
		b.demote(s, true)
	}
}
