package ranking

import (
	"math"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/order"
	"molepaddle/policy"
)

// tier returns the tier of the backend, 0 the best. While the fleet ejects it, an answer that this proxy got itself
// doesn't raise it: one proxy sees too few of them to tell.
func (b *backend) tier(now, pendingTimeout float64) int {
	if now < b.ejectedUntil {
		return worstTier
	}
	return b.Tier(now, pendingTimeout)
}

// PreferredBackend returns the usable backend, of those that among accepts, that a key's hash puts first in the best
// tier that has any; "" where there is none.
func (r *Ranker) PreferredBackend(now float64, key uint64, among func(id string) bool) string {
	preferred, bestScore, bestTier := "", math.Inf(1), worstTier+1
	for _, b := range r.all {
		if !b.usable || !among(b.id) {
			continue
		}
		score := policy.Rendezvous(key, b.hash, 1)
		tier := b.tier(now, r.settings.PendingTimeoutMs)
		if tier < bestTier || tier == bestTier && score < bestScore {
			preferred, bestScore, bestTier = b.id, score, tier
		}
	}
	return preferred
}

// HashScore returns a backend's position in a key's hash order, lower first, nearer to 0 the more weight (above 0) it
// has; +Inf where the id isn't known.
func (r *Ranker) HashScore(key uint64, id string, weight float64) float64 {
	if b := r.byID[id]; b != nil {
		return policy.Rendezvous(key, b.hash, weight)
	}
	return math.Inf(1)
}

// Rank appends to out the usable backends that among accepts (nil: all), in the order in which a request of this key
// (random if it has none) is to try them:
//
//   - by tier;
//   - within a tier, where cost is given, by cost: 0 or more, in any one unit, lower first, those within
//     CostTolerance of a lowest as equal;
//   - those under policy.Cap(c, attempts in flight at all the candidates, 1/size of the tier) before the others;
//   - by the key's rendezvous hash.
//
// Rank doesn't wait: an empty tier passes down to the next. It takes O(n log n) and, once its buffer has grown,
// allocates nothing.
func (r *Ranker) Rank(now float64, key uint64, among func(id string) bool, c float64,
	cost func(id string) float64, out []string) []string {
	r.refresh(now, r.settings.UnhealthyHoldMs)
	r.scratch = r.scratch[:0]
	inFlight, tierSizes := 0, [worstTier + 1]int{}
	for i, b := range r.all {
		if !b.usable || among != nil && !among(b.id) {
			continue
		}
		p := order.Candidate{
			Index: i,
			Tier:  b.tier(now, r.settings.PendingTimeoutMs),
			Score: policy.Rendezvous(key, b.hash, 1),
		}
		if cost != nil {
			p.Cost = arith.Finite(cost(b.id))
		}
		inFlight += b.inFlight
		tierSizes[p.Tier]++
		r.scratch = append(r.scratch, p)
	}
	for i := range r.scratch {
		p := &r.scratch[i]
		share := 1 / float64(tierSizes[p.Tier])
		p.Deferred = float64(r.all[p.Index].inFlight) >= policy.Cap(c, inFlight, share)
	}
	order.Sort(r.scratch, r.settings.CostTolerance)
	for _, p := range r.scratch {
		out = append(out, r.all[p.Index].id)
	}
	return out
}
