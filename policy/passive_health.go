package policy

import "molepaddle/internal/decide/arith"

const (
	// failureSmoothing is an attempt's weight in its server's failure share.
	failureSmoothing = 0.05
	// fleetFailureShare is the least median failure share at which failures are attributed to the fleet.
	fleetFailureShare = 0.01
	// fleetFailureFactor is the ratio of a server's failure share to that median up to which its failures
	// are attributed to the fleet.
	fleetFailureFactor = 3
	// maxStrikes bounds the doubling of a failing server's time in Unhealthy.
	maxStrikes = 5
	// strikeAnswers times the number of a server's strikes is the number of answers that removes one strike.
	strikeAnswers = 16
	// maxProbes bounds the probes in flight.
	maxProbes = 2
	// unresponsiveTimes is the time-out of a server with one attempt in flight, in mean answer times. It is
	// divided by the number of attempts in flight, up to unresponsiveAttempts.
	unresponsiveTimes    = 8
	unresponsiveAttempts = 3

	// rejectedWindowFactor multiplies a server's window when it rejects an attempt, slowWindowFactor when it
	// is slow.
	rejectedWindowFactor = 0.7
	slowWindowFactor     = 0.85
	// leastWindow is the smallest window of a server that is not overloaded.
	leastWindow = 1.0
	// minWindow is the smallest window of an overloaded server: enough attempts to notice its recovery.
	minWindow = 0.1
	// overloadedFactor is the ratio of a server's latency to its limit above which it counts as overloaded.
	overloadedFactor = 2.5
	// maxAnswerTargets caps a recorded answer time, in latency targets.
	maxAnswerTargets = 2
)

// noteTierChange increments the epoch if a transition may have changed tiers.
func (b *Balancer) noteTierChange(tiers bool) {
	if tiers {
		b.epoch++
	}
}

// enter sets a server's state.
func (b *Balancer) enter(s *server, to State) { b.noteTierChange(s.enter(b.now, to)) }

// recordOutcome updates the state of the server from the result of an attempt.
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
		// A server that answered other attempts in the meantime counts as slow, not as failed.
		b.answerTimes.ObserveHinted(a.r.hint, rtt)
		b.learnLatency(s,
			b.answerTimes.NormalizedLatency(a.r.hint, rtt/b.set.Classes[a.r.class].LatencyTargetMs))
	case Full:
		s.lastContact = b.now
		b.shrinkWindow(s, rejectedWindowFactor, leastWindow)
	}
}

// recordServed records an answer that took rtt ms.
func (b *Balancer) recordServed(a *attempt, rtt float64) {
	s, r := a.s, a.r
	s.failureShare -= failureSmoothing * s.failureShare
	b.answerTimes.ObserveHinted(r.hint, rtt)
	b.recordContact(s)
	s.rtt = arith.Mean(s.rtt, rtt, smoothing)
	c := &b.set.Classes[r.class]
	b.answerTimes.ObserveServed(r.class, rtt, maxAnswerTargets*c.LatencyTargetMs)
	if b.now <= r.targetAt {
		b.classValue.ObserveInTime(r.class)
	}
	ratio := b.answerTimes.NormalizedLatency(r.hint, rtt/c.LatencyTargetMs)
	b.normalLatency.Observe(ratio, a.soleInFlight)
	b.learnLatency(s, ratio)
	limit := b.normalLatency.OverloadLimit(b.slowStartFactor(s))
	if b.slowStartFactor(s) < 1 {
		b.slowStart.Observe(ratio < limit)
	}
	if s.state == Unhealthy && a.sentAt < s.since && !s.unresponsive {
		return // sent before the failure, so its answer is no sign of recovery
	}
	b.noteTierChange(s.Served(b.now))
	s.forgiveStrikes()
	b.resizeWindow(s, limit, rtt)
}

// forgiveStrikes records an answer. Enough answers remove a strike, and so does the first answer after the
// server was unresponsive.
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

// resizeWindow shrinks the window of a server whose latency is above the limit, at most once per rtt, so that
// attempts in flight together count once. It widens a nearly full window of a server below the limit.
func (b *Balancer) resizeWindow(s *server, limit, rtt float64) {
	switch {
	case s.latencyRatio > limit && b.now-s.windowCutAt > rtt:
		least := leastWindow
		if s.latencyRatio > overloadedFactor*limit {
			least = minWindow
		}
		b.shrinkWindow(s, slowWindowFactor, least)
	case s.latencyRatio < limit && float64(len(s.inFlight)+2) > s.window && b.normalLatency.Ready():
		s.window += min(1/s.window, s.window)
	}
}

// recordContact records that a server answered. After a long period of failed connects it may be a new
// process that the list does not show yet, so it enters slow start now. Time-outs alone are no sign of a
// restart (i228a10).
func (b *Balancer) recordContact(s *server) {
	if s.connectFailedAt > 0 && b.now-s.connectFailedAt > b.set.Contract.OverloadAfterMs {
		s.startedAt = b.now
		s.window = restartWindow
		s.slowStartCredit = b.rng.Float64()
	}
	s.lastContact = b.now
	s.connectFailedAt = 0
}

// learnLatency records an answer time, given as a share of the latency target.
func (b *Balancer) learnLatency(s *server, ratio float64) {
	s.samples++
	s.latencyRatio = arith.Mean(s.latencyRatio, ratio, max(smoothing, 1/float64(s.samples)))
	b.weights.Observe(s.zone, s.kind, ratio)
}

// shrinkWindow multiplies a server's window by factor, without reducing it below least.
func (b *Balancer) shrinkWindow(s *server, factor, least float64) {
	s.window = min(s.window, max(s.window*factor, least))
	s.windowCutAt = b.now
}

// failsLikeFleet reports whether the server fails at about the rate of the fleet (the median failure share of
// the usable servers), as when a network breaks connections at random. With a strike for each such failure
// all servers were Unhealthy at once.
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

// recheck demotes a server without a strike and makes it UnhealthyPending at once.
func (b *Balancer) recheck(s *server) {
	if s.state != Unhealthy {
		b.noteTierChange(s.Demote(b.now))
		s.unresponsive = false
		s.servedSinceStrike = 0
		b.noteTierChange(s.Refresh(b.now, 0))
	}
	b.refetch()
}

// demote makes a server Unhealthy and adds a strike; unresponsive means that it didn't answer. Further
// failures while it is Unhealthy add no strike.
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

// unhealthyHold returns the time, in ms, that a server stays Unhealthy before it is validated again. It is
// the least latency target or, if validation takes a request and this is longer, the time in which the agent
// sends to each server once (id753de), doubled for each strike after the first. It is 0 while the other
// servers have no capacity, unless the server is unresponsive.
func (b *Balancer) unhealthyHold(s *server) float64 {
	if b.saturated && !s.unresponsive {
		return 0
	}
	hold := b.minLatencyTarget
	if !b.set.Limits.HealthChecks {
		hold = max(hold, b.requestRate.RoundTime(b.set.Limits.KeepaliveMs, b.subset()))
	}
	return hold * float64(int(1)<<max(s.strikes-1, 0))
}

// demoteUnresponsive demotes servers that have attempts in flight and have not answered for several mean
// answer times; without this a hung server would stay Connected. Zones with several such servers are
// suspected to be unreachable.
func (b *Balancer) demoteUnresponsive() {
	for _, s := range b.servers {
		if len(s.inFlight) == 0 {
			continue
		}
		oldest := s.inFlight[0]
		mean := b.expectedAnswerMs(oldest.r)
		b.zoneSuspicion.AddWaiting(s.zone, oldest.sentAt, (b.now-oldest.sentAt)/mean)
		silent := b.now - max(s.lastContact, oldest.sentAt)
		attempts := float64(min(len(s.inFlight), unresponsiveAttempts))
		if s.state != Unhealthy && silent >= mean*unresponsiveTimes/attempts {
			b.demote(s, true)
		}
	}
	b.noteTierChange(b.zoneSuspicion.Evaluate(b.now, b.minLatencyTarget))
}

// liftSuspicion records that a zone has answered. If the zone was suspected, the path to it was at fault, so
// its servers that became unresponsive since shortly before the suspicion are validated at once.
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

// revalidate makes servers UnhealthyPending that were Unhealthy long enough, and probes pending servers if
// the settings allow it. It runs with each request.
func (b *Balancer) revalidate() {
	for _, s := range b.servers {
		if s.state == Unhealthy && s.usable && len(s.inFlight) == 0 && s.Refresh(b.now, b.unhealthyHold(s)) {
			b.epoch++
			b.refetch()
		}
		pending := s.state == UnhealthyPending && s.usable
		if pending && b.set.Limits.HealthChecks && !s.probing && b.probesInFlight < maxProbes {
			s.probing = true
			b.probesInFlight++
			b.emit(Action{Kind: ActProbe, Server: s.id})
		}
	}
}

// onProbed handles the result of a probe. A rejected probe leaves the state as it is.
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
