package policy

import (
	"math"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/pace"
	"molepaddle/internal/decide/settings"
)

const (
	// affinityWaitShare is the part of the time to its target that a request may wait for the
	// affinityServers nearest its key.
	affinityWaitShare = 0.25
	affinityServers   = 2
	// tierCount is how many tiers of health there are.
	tierCount = 3
	// slowStartHashFactor is how many times its part of an even share a server in slow start weighs in the
	// hash, up to its whole weight: its credit is what limits it.
	slowStartHashFactor = 4
	// minSubset is the smallest number of servers that an agent sends to.
	minSubset = pace.LeastServers
)

// Cap returns how many attempts in flight bound a backend, as in consistent hashing with bounded loads: c
// times its share (its part of the tier: 1/size of equals) of those in flight and the one to be sent, rounded
// up. A backend that has as many is passed over.
func Cap(c float64, inflight int, share float64) float64 {
	return math.Ceil(c * float64(inflight+1) * share)
}

// Rendezvous returns a backend's score in the order of a key, lower first, by weighted rendezvous (highest
// random weight) hashing: all callers find one order, and the part of the keys that has a backend first goes
// by its weight (above 0). Both hashes must be well mixed.
func Rendezvous(key, backend uint64, weight float64) float64 {
	u := float64(arith.Mix(key^backend)>>11) / (1 << 53)
	return -math.Log(u+1e-18) / weight
}

// tierOf returns the server's tier for the request, 0 the best.
func (b *Balancer) tierOf(s *server, r *request) int {
	// What must not run twice does not check a server, or a zone, while others are healthy.
	once := b.set.Classes[r.class].Effect == settings.SingleShot
	pendingTimeout := 0.0 // without probes the first send checks
	if once {
		pendingTimeout = math.Inf(1)
	} else if b.set.Limits.Probing {
		pendingTimeout = b.minLatencyTarget
	}
	tier := s.Tier(b.now, pendingTimeout)
	if tier == 0 && b.zoneSuspicion.IsSuspected(s.zone) && (once || !b.zoneSuspicion.MayTry(s.zone, b.now)) {
		tier = 1
	}
	return tier
}

// selectServer returns the first server by the key's hash, of the best tier that has any, that is under its
// cap and has capacity; nil where there is none.
func (b *Balancer) selectServer(r *request) *server {
	waits := b.waitsForAffinity(r)
	for tier := range tierCount {
		candidates, nearest := b.candidates(r, tier, waits)
		b.tierScratch = candidates
		if r.tierWeight == 0 {
			continue // an empty tier passes down
		}
		if waits && len(candidates) > affinityServers {
			r.affinityServers = nearest
			r.epoch = b.epoch
			candidates = nearest[:]
		}
		return b.best(r, candidates)
	}
	return nil
}

// candidates returns the servers of a tier that the request may go to, scored, in scratch space, and the
// nearest of them to its key. It also sums up the tier's weight. A request that waits for its key's servers
// has candidates without capacity as well.
func (b *Balancer) candidates(r *request, tier int, waits bool) (all []*server,
	nearest [affinityServers]*server) {
	all = b.tierScratch[:0]
	r.tierWeight = 0
	count, subset := 0, b.subset()
	for _, s := range b.servers {
		if b.tierOf(s, r) != tier || !b.maySend(r, s) {
			continue
		}
		count++
		if count > subset && len(all) > 0 {
			break
		}
		r.tierWeight += s.weight * b.ramp(s)
		if !waits && !b.hasCapacity(s, r) || b.now+b.minRemaining(s, r) > b.latestUseful(r) {
			continue
		}
		s.score = b.score(r, s)
		all = append(all, s)
		insertNearest(&nearest, s)
	}
	return all, nearest
}

// insertNearest keeps the servers of the lowest scores, in their order.
func insertNearest(nearest *[affinityServers]*server, s *server) {
	for i := range nearest {
		if nearest[i] == nil || s.score < nearest[i].score {
			nearest[i], s = s, nearest[i]
		}
		if s == nil {
			return
		}
	}
}

// best returns the server of the lowest score that is under its cap and has capacity; nil where there is
// none.
func (b *Balancer) best(r *request, candidates []*server) *server {
	var best *server
	for _, s := range candidates {
		if (best == nil || s.score < best.score) && b.underCap(s, r) {
			best = s
		}
	}
	return best
}

// subset returns how many servers of a tier the agent sends to.
func (b *Balancer) subset() int {
	return b.requestRate.Subset(&b.set, b.minServers, len(b.servers))
}

// waitsForAffinity tells whether the request still waits for its key's servers.
func (b *Balancer) waitsForAffinity(r *request) bool {
	return r.key != 0 && len(r.attempts) == 0 && b.now-r.arrived < affinityWaitShare*(r.targetAt-r.arrived)
}

// affinityHash returns the hash that orders the servers for a key; a random one without a key.
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
	starting := min(slowStartHashFactor*b.slowStart.Of(b.ramp(s)), 1)
	return Rendezvous(r.hash, s.hash, s.weight*b.weights.Of(s.zone, s.kind)*starting)
}

// underCap tells whether the server is under its cap in the tier of the last selection and has capacity.
func (b *Balancer) underCap(s *server, r *request) bool {
	share := s.weight * b.ramp(s) / r.tierWeight
	return float64(len(s.inFlight)) < Cap(loadBoundFactor, b.inFlight, share) && b.hasCapacity(s, r)
}
