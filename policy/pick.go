package policy

import (
	"math"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/settings"
)

// Cap bounds the attempts in flight at one backend, as bounded loads have it: c times its share (its
// part of the tier: 1/size of equals) of those in flight and the one to be sent, rounded up. A backend that
// has as many is passed over.
func Cap(c float64, inflight int, share float64) float64 {
	return math.Ceil(c * float64(inflight+1) * share)
}

// Rendezvous is a backend's place in the order of a key, lower is nearer, by weighted rendezvous
// (highest random weight) hashing: all callers find one order, and the part of the keys that has a backend
// first goes by its weight (above 0). Both hashes must be well mixed.
func Rendezvous(key, backend uint64, weight float64) float64 {
	u := float64(arith.Mix(key^backend)>>11) / (1 << 53)
	return -math.Log(u+1e-18) / weight
}

// listRank is the server's tier for the request.
func (b *Balancer) tierOf(s *server, r *request) int {
	// What must not run twice does not check a server, or a zone, while others are healthy.
	once := b.set.Classes[r.class].Effect == settings.SingleShot
	lapse := 0.0 // without probes the first send checks
	if once {
		lapse = math.Inf(1)
	} else if b.set.Limits.Probing {
		lapse = b.minLatencyTarget
	}
	tier := s.Tier(b.now, lapse)
	if tier == 0 && b.doubt.Of(s.zone) && (once || !b.doubt.Due(s.zone, b.now)) {
		tier = 1
	}
	return tier
}

// selectServer takes the first by the key's hash, of the best tier that has anyone, under its cap with room.
func (b *Balancer) selectServer(r *request) *server {
	waits, subset := b.waitsForAffinity(r), b.subset()
	for rank := range 3 {
		tier, n := b.tierScratch[:0], 0
		r.tierWeight = 0
		var near [affinityServers]*server
		for _, s := range b.servers {
			if b.tierOf(s, r) != rank || !b.maySend(r, s) {
				continue
			}
			if n++; n > subset && len(tier) > 0 {
				break
			}
			r.tierWeight += s.weight * b.ramp(s)
			if !waits && !b.hasCapacity(s, r) || b.now+b.minRemaining(s, r) > b.latestUseful(r) {
				continue
			}
			s.score = b.score(r, s)
			tier = append(tier, s)
			for i, at := 0, s; i < affinityServers && at != nil; i++ {
				if near[i] == nil || at.score < near[i].score {
					near[i], at = at, near[i]
				}
			}
		}
		b.tierScratch = tier
		if r.tierWeight == 0 {
			continue // an empty tier passes down
		}
		if waits && len(tier) > affinityServers {
			r.affinityServers, r.epoch = near, b.epoch
			tier = near[:]
		}
		var best *server
		for _, s := range tier {
			if (best == nil || s.score < best.score) && b.underCap(s, r) {
				best = s
			}
		}
		return best
	}
	return nil
}

// subset is how many servers of a tier the agent sends to.
func (b *Balancer) subset() int { return b.pace.Subset(&b.set, b.minServers, len(b.servers)) }

// waitsForAffinity tells whether the request still waits for its key's servers.
func (b *Balancer) waitsForAffinity(r *request) bool {
	return r.key != 0 && len(r.attempts) == 0 && b.now-r.arrived < affinityWaitShare*(r.targetAt-r.arrived)
}

// affinityHash gives a key the hash that orders the servers for it.
func (b *Balancer) affinityHash(key uint64) uint64 {
	if key == 0 {
		return b.rng.Uint64()
	}
	servers := float64(b.subset())
	blind := min(float64(b.set.Replicas)/max(loadBoundFactor*servers, 1), 1)
	return b.keys.Split(key, servers, blind, b.rng.Float64())
}

// score orders servers by weighted rendezvous hashing: every agent of a zone finds the same order.
func (b *Balancer) score(r *request, s *server) float64 {
	w := s.weight * b.weights.Of(s.zone, s.kind) * min(4*b.cold.Of(b.ramp(s)), 1) // its credit limits it
	return Rendezvous(r.hash, s.hash, w)
}

// underCap tells whether the server is under its cap in the tier of the last pick and has room.
func (b *Balancer) underCap(s *server, r *request) bool {
	share := s.weight * b.ramp(s) / r.tierWeight
	return float64(len(s.inFlight)) < Cap(loadBoundFactor, b.inflight, share) && b.hasCapacity(s, r)
}

// earnSlowStartCredit keeps each cold server's credit: for all that warm servers have served it may get its
// share by weight and ramp, so that all agents together keep to what it can do. What was turned
// away earns nothing: in a storm it made cold servers' shares ninefold (i86bcad).
func (b *Balancer) earnSlowStartCredit(s *server, cost float64) {
	if b.ramp(s) < 1 {
		return
	}
	warm := b.warmWeight() * float64(b.subset()) / float64(len(b.servers)) // of its subset
	b.cold.Served(b.now, cost, warm)
	for _, o := range b.servers {
		if k := b.ramp(o); k < 1 && warm > 0 {
			o.slowStartCredit = min(o.slowStartCredit+cost*b.cold.Of(k)*o.weight/warm, maxSlowStartCredit)
		}
	}
}

// warmWeight is the weight of the top tier's servers that are not cold, counted once a moment.
func (b *Balancer) warmWeight() float64 {
	if b.warmAt == b.now && b.warmEpoch == b.epoch {
		return b.warm
	}
	b.warm, b.warmAt, b.warmEpoch = 0, b.now, b.epoch
	for _, s := range b.servers {
		if s.usable && s.state <= Unknown && b.ramp(s) == 1 {
			b.warm += s.weight
		}
	}
	return b.warm
}
