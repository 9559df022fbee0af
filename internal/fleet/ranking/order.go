package ranking

import (
	"math"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/order"
	"molepaddle/policy"
)

// tier returns the tier of the backend, 0 the best. While the backend is ejected, successful attempts of this proxy
// don't raise its tier: a single proxy sees too few of them.
func (b *backend) tier(now, pendingTimeout float64) int {
	if now < b.ejectedUntil {
		return worstTier
	}
	return b.Tier(now, pendingTimeout)
}

// PreferredBackend returns the first backend by the key's rendezvous hash in the best non-empty tier, of the usable
// backends that among accepts; "" if there is none.
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

// HashScore returns a backend's rendezvous score for a key: lower ranks first, and a higher weight (above 0) lowers the
// score. It returns +Inf if the id is unknown.
func (r *Ranker) HashScore(key uint64, id string, weight float64) float64 {
	if b := r.byID[id]; b != nil {
		return policy.Rendezvous(key, b.hash, weight)
	}
	return math.Inf(1)
}

// Rank appends to out the usable backends that among accepts (nil: all), in the order in which a request with this key
// (a random one if it has none) is to try them:
//
//   - by tier;
//   - within a tier, if cost isn't nil, by cost: 0 or more, in any one unit, lower first, those within
//     CostTolerance of a lowest as equal;
//   - those with fewer attempts in flight than policy.Cap(c, attempts at all candidates, 1/size of the tier) first;
//   - by the key's rendezvous hash.
//
// Rank never blocks: if a tier is empty, the next one is used. It takes O(n log n) time and, once its buffer has grown,
// doesn't allocate.
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
