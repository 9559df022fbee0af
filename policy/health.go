package policy

import "molepaddle/internal/decide/arith"

// moved notes that a transition may have changed tiers.
func (b *Balancer) moved(tiers bool) {
	if tiers {
		b.epoch++
	}
}

func (b *Balancer) enter(s *server, to State) { b.moved(s.enter(b.now, to)) }

// judge takes what an attempt's end says about its server.
func (b *Balancer) judge(a *attempt, st Status, rtt float64) {
	s := a.s
	if st == OK || st == Error || st == Full {
		b.lift(s.zone)
	}
	switch st {
	case OK:
		if b.earn(s, a.cost); !a.r.started && !a.r.coming {
			b.served(a, rtt)
		}
	case Error, Reset:
		s.heard = b.now
		if b.common(s) {
			b.recheck(s)
		} else {
			b.demote(s, false)
		}
		s.fails += failWeight * (1 - s.fails)
	case ConnectFailed:
		b.demote(s, true)
		if s.lostAt == 0 {
			s.lostAt = b.now
		}
	case Timeout:
		// One that answered others meanwhile is not to blame; it counts as slow.
		if s.heard > a.sentAt {
			b.needs.Took(a.r.hint, rtt)
			b.learn(s, b.needs.Part(a.r.hint, rtt/b.set.Classes[a.r.class].AimMs))
		} else {
			b.demote(s, true)
		}
	case Full:
		s.heard = b.now
		b.cut(s, 0.7, 1)
	}
}

func (b *Balancer) served(a *attempt, rtt float64) {
	s, r := a.s, a.r
	s.fails -= failWeight * s.fails
	b.needs.Took(r.hint, rtt)
	b.heardFrom(s)
	s.rtt = arith.Mean(s.rtt, rtt, smooth)
	c := &b.set.Classes[r.class]
	b.needs.Served(r.class, rtt, 2*c.AimMs)
	if b.now <= r.aimAt {
		b.worth.Won(r.class)
	}
	x := b.needs.Part(r.hint, rtt/c.AimMs)
	b.calm.Answered(x, a.alone)
	b.learn(s, x)
	limit := b.calm.Limit(b.ramp(s))
	if b.ramp(s) < 1 {
		b.cold.Answered(x < limit)
	}
	if s.state == Unhealthy && a.sentAt < s.since && !s.silent {
		return // sent before the failure: says nothing about what came after
	}
	b.moved(s.Served(b.now))
	if s.silent {
		s.silent, s.strikes = false, max(s.strikes-1, 0)
	}
	if s.good++; s.good >= 16*s.strikes {
		s.good, s.strikes = 0, max(s.strikes-1, 0)
	}
	switch {
	case s.lat > limit && b.now-s.cutAt > rtt:
		least := 1.0
		if s.lat > tipFactor*limit {
			least = leastWindow
		}
		b.cut(s, 0.85, least)
	case s.lat < limit && float64(len(s.out)+2) > s.window && b.calm.Learnt():
		s.window += min(1/s.window, s.window)
	}
}

// heardFrom notes an answer. A server that no connect reached for long may be a new process, cold
// and not yet listed: it is ramped as if it had started now. Time-outs alone don't tell (i228a10).
func (b *Balancer) heardFrom(s *server) {
	if s.lostAt > 0 && b.now-s.lostAt > b.set.Contract.TipAfterMs {
		s.startedAt, s.window, s.credit = b.now, 1, b.rng.Float64()
	}
	s.heard, s.lostAt = b.now, 0
}

func (b *Balancer) learn(s *server, x float64) {
	s.samples++
	s.lat = arith.Mean(s.lat, x, max(smooth, 1/float64(s.samples)))
	b.weights.Answered(s.zone, s.kind, x)
}

func (b *Balancer) cut(s *server, by, least float64) {
	s.window, s.cutAt = min(s.window, max(s.window*by, least)), b.now
}

// common tells whether the server fails no more than the fleet does (the median of the usable ones'
// shares), as when a network breaks connections at random: held to a strike each all were out at once.
func (b *Balancer) common(s *server) bool {
	b.shares = b.shares[:0]
	for _, o := range b.servers {
		if o.usable {
			b.shares = append(b.shares, o.fails)
		}
	}
	median := arith.Median(b.shares)
	return median >= failShare && s.fails <= 3*median
}

// recheck demotes a server and has it validated at once, without a strike.
func (b *Balancer) recheck(s *server) {
	if s.state != Unhealthy {
		b.moved(s.Demote(b.now))
		s.silent, s.good = false, 0
		b.moved(s.Refresh(b.now, 0))
	}
	b.refetch()
}

// demote makes a server Unhealthy; failures of one moment count as one strike.
func (b *Balancer) demote(s *server, silent bool) {
	if s.state != Unhealthy {
		s.strikes = min(s.strikes+1, maxStrikes)
		b.moved(s.Demote(b.now))
		s.silent, s.good, s.lat, s.samples = silent, 0, 0, 0
		s.window = max(s.window/2, 1)
	}
	b.refetch()
}

// holdFor is how long a server stays Unhealthy before it is validated again: one aim, or the time in which
// the agent comes by each server if that is longer and a check costs a request (id753de), doubled with each
// further strike. While the others have no room there is none, but for one that answers nothing.
func (b *Balancer) holdFor(s *server) float64 {
	if b.scarce && !s.silent {
		return 0
	}
	hold := b.aimMin
	if !b.set.Limits.Probing {
		hold = max(hold, b.pace.Round(b.set.Limits.KeepaliveMs, b.subset()))
	}
	return hold * float64(int(1)<<max(s.strikes-1, 0))
}

// watchSilence demotes servers that took attempts and have answered nothing for several answer
// times: hung or gone silent, they would stay Connected. Zones of them are doubted as one.
func (b *Balancer) watchSilence() {
	for _, s := range b.servers {
		if len(s.out) == 0 {
			continue
		}
		a, mean := s.out[0], b.expected(s.out[0].r)
		b.doubt.Waits(s.zone, a.sentAt, (b.now-a.sentAt)/mean)
		if s.state != Unhealthy && b.now-max(s.heard, a.sentAt) >= mean*8/float64(min(len(s.out), 3)) {
			b.demote(s, true)
		}
	}
	b.moved(b.doubt.Judge(b.now, b.aimMin))
}

// lift takes that a zone has answered: silence of its servers while it was doubted was the way's.
func (b *Balancer) lift(zone int) {
	if since, lifted := b.doubt.Answered(zone, b.now); lifted {
		for _, s := range b.servers {
			if s.zone == zone && s.silent && s.since >= since-b.aimMin {
				b.moved(s.Refresh(b.now, 0))
			}
		}
	}
}

// revalidate, on each request, refreshes servers that were Unhealthy long enough to pending.
func (b *Balancer) revalidate() {
	for _, s := range b.servers {
		if s.state == Unhealthy && s.usable && len(s.out) == 0 && s.Refresh(b.now, b.holdFor(s)) {
			b.epoch++
			b.refetch()
		}
		pending := s.state == UnhealthyPending && s.usable
		if pending && b.set.Limits.Probing && !s.probing && b.probes < probeCap {
			s.probing = true
			b.probes++
			b.do(Action{Kind: ActProbe, Server: s.id})
		}
	}
}

func (b *Balancer) onProbed(ev *Event) {
	if s := b.byAddr[ev.Server]; s != nil && s.probing {
		s.probing = false
		b.probes--
		if s.state == UnhealthyPending && ev.Status == OK {
			b.heardFrom(s)
			b.moved(s.Probed(b.now, true))
		} else if s.state == UnhealthyPending && ev.Status != Full {
			b.demote(s, true)
		}
	}
}
