package policy

import (
	"math"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/pace"
	"molepaddle/internal/decide/settings"
)

const (
	// affinityWaitShare is the share of the time to its target that a request may wait for the
	// affinityServers nearest to its key.
	affinityWaitShare = 0.25
	affinityServers   = 2
	// tierCount is the number of health tiers.
	tierCount = 3
	// slowStartHashFactor multiplies the hash weight of a server in slow start, up to its full weight, since
	// its credit is the effective limit.
	slowStartHashFactor = 4
	// minSubset is the smallest number of servers that an agent sends to.
	minSubset = pace.MinServers
)

// Cap returns the limit of a backend's attempts in flight, as in consistent hashing with bounded loads: c
// times its share of inflight plus the attempt to be sent, rounded up. share is the backend's share of its
// tier, 1/n for n equal backends. A backend that has reached its cap is skipped.
func Cap(c float64, inflight int, share float64) float64 {
	return math.Ceil(c * float64(inflight+1) * share)
}

// Rendezvous returns a backend's score for a key by weighted rendezvous (highest random weight) hashing; the
// backend with the lowest score comes first. All callers compute the same order, and a backend comes first
// for a share of the keys in proportion to its weight, which must be above 0. Both hashes must be well mixed.
func Rendezvous(key, backend uint64, weight float64) float64 {
	u := float64(arith.Mix(key^backend)>>11) / (1 << 53)
	return -math.Log(u+1e-18) / weight
}

// tierOf returns the server's tier for the request, 0 the best.
func (b *Balancer) tierOf(s *server, r *request) int {
	// A request that must not run twice is not used to validate a server or a zone while others are healthy.
	once := b.set.Classes[r.class].Idempotency == settings.NonIdempotent
	pendingTimeout := 0.0 // without probes the first request validates the server
	if once {
		pendingTimeout = math.Inf(1)
	} else if b.set.Limits.HealthChecks {
		pendingTimeout = b.minLatencyTarget
	}
	tier := s.Tier(b.now, pendingTimeout)
	if tier == 0 && b.zoneSuspicion.IsSuspected(s.zone) && (once || !b.zoneSuspicion.MayTry(s.zone, b.now)) {
		tier = 1
	}
	return tier
}

// selectServer returns the first server, in the order of the request's hash, of the best non-empty tier that
// is under its cap and has capacity, or nil.
func (b *Balancer) selectServer(r *request) *server {
	waits := b.waitsForAffinity(r)
	for tier := range tierCount {
		candidates, nearest := b.candidates(r, tier, waits)
		b.tierScratch = candidates
		if r.tierWeight == 0 {
			continue // the tier is empty
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

// candidates returns the scored servers of a tier that the request may be sent to, in scratch space, and
// those nearest to its key. It sets r.tierWeight to the tier's weight. For a request that waits for its
// affinity servers, servers without capacity are candidates as well.
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
		r.tierWeight += s.weight * b.slowStartFactor(s)
		if !waits && !b.hasCapacity(s, r) || b.now+b.minRemaining(s, r) > b.latestUseful(r) {
			continue
		}
		s.score = b.score(r, s)
		all = append(all, s)
		insertNearest(&nearest, s)
	}
	return all, nearest
}

// insertNearest inserts s into nearest, which holds the servers with the lowest scores in order.
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

// best returns the candidate with the lowest score that is under its cap and has capacity, or nil.
func (b *Balancer) best(r *request, candidates []*server) *server {
	var best *server
	for _, s := range candidates {
		if (best == nil || s.score < best.score) && b.underCap(s, r) {
			best = s
		}
	}
	return best
}

// subset returns the number of servers of a tier that the agent sends to.
func (b *Balancer) subset() int {
	return b.requestRate.SubsetSize(&b.set, b.minServers, len(b.servers))
}

// waitsForAffinity reports whether the request is still limited to its affinity servers.
func (b *Balancer) waitsForAffinity(r *request) bool {
	return r.key != 0 && len(r.attempts) == 0 && b.now-r.arrived < affinityWaitShare*(r.targetAt-r.arrived)
}

// affinityHash returns the hash that orders the servers for a key, or a random one for key 0.
func (b *Balancer) affinityHash(key uint64) uint64 {
	if key == 0 {
		return b.rng.Uint64()
	}
	servers := float64(b.subset())
	blind := min(float64(b.set.Replicas)/max(loadBoundFactor*servers, 1), 1)
	return b.keys.Split(key, servers, blind, b.rng.Float64())
}

// score returns the server's weighted rendezvous score; all agents of a zone compute the same order.
func (b *Balancer) score(r *request, s *server) float64 {
	starting := min(slowStartHashFactor*b.slowStart.Fraction(b.slowStartFactor(s)), 1)
	return Rendezvous(r.hash, s.hash, s.weight*b.weights.Of(s.zone, s.kind)*starting)
}

// underCap reports whether the server is under its cap in the tier of the last selection and has capacity.
func (b *Balancer) underCap(s *server, r *request) bool {
	share := s.weight * b.slowStartFactor(s) / r.tierWeight
	return float64(len(s.inFlight)) < Cap(loadBoundFactor, b.inFlight, share) && b.hasCapacity(s, r)
}
