// Package ranking orders a service's backends for a request, by the design. The states, their tiers, the cap and the hash are policy's; here is what one proxy keeps of each
// backend. It does no I/O and reads no clock.
package ranking

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/order"
	"molepaddle/policy"
)

// maxFailedTransfers is how many hand-overs in a row must fail to demote their source. Some handles lapse, and
// a reader may be the one cut off; three in a row are seldom of either.
const maxFailedTransfers = 3

// RankerSettings bound a Ranker. Times are in ms. Zero values stand for what is said of each.
type RankerSettings struct {
	MaxProbes            int     // validations under way at once; 0: none; a first attempt validates
	PendingTimeoutMs     float64 // in UnhealthyPending until it ranks healthy again; 0: 60,000, below 0: at once
	UnhealthyHoldMs      float64 // in Unhealthy until the next request refreshes; 0: 60,000, below 0: at once
	MinRefetchIntervalMs float64 // least time between two fetches of the list that are asked for; 0: 1,000
	CostTolerance        float64 // costs this near to a lowest are equal to it; in the unit of the costs
}

// Endpoint is one entry of the platform's list.
type Endpoint struct {
	ID     string // of one incarnation of the backend
	Usable bool   // may be sent to; the others keep their standing and are not ranked
}

// Ranker holds one proxy's own view of the listed backends and orders them for a request, by the design.
// It does no I/O and reads no clock: now is in ms and does not go back. An unknown id is ignored.
type Ranker struct {
	settings       RankerSettings
	byID           map[string]*backend
	all            []*backend // listed, or not yet forgotten, in the order they came
	probesInFlight int
	refetchDue     bool          // a failure calls for the list
	refetchedAt    float64       // last call for it
	scratch        []order.Place // scratch of Rank
}

// backend is what a Ranker knows of one.
type backend struct {
	policy.Health
	id                        string
	hash                      uint64
	listed, usable            bool
	probeDue, probing         bool    // due: it has not been probed since it entered UnhealthyPending
	inFlight, failedTransfers int     // attempts in flight; hand-overs of its memory that failed since one succeeded
	ejectedUntil              float64 // the fleet's word is against it until then; 0: it isn't
}

// tier is the rank of the backend. While the fleet's word is against it, what this proxy sees itself doesn't lift it.
func (b *backend) tier(now, lapse float64) int {
	if now < b.ejectedUntil {
		return worstTier
	}
	return b.Tier(now, lapse)
}

// worstTier is the one of backends that are Unhealthy.
const worstTier = 2

// NewRanker returns a Ranker of an empty list.
func NewRanker(set RankerSettings) *Ranker {
	set.PendingTimeoutMs, set.UnhealthyHoldMs = cmp.Or(set.PendingTimeoutMs, 60000), cmp.Or(set.UnhealthyHoldMs, 60000)
	set.MinRefetchIntervalMs = cmp.Or(set.MinRefetchIntervalMs, 1000)
	return &Ranker{settings: set, byID: map[string]*backend{}, refetchedAt: math.Inf(-1)}
}

// SetEndpoints takes the whole list. What is new on it is Unknown, what is gone is ranked no more and forgotten
// when no attempt or probe of it is out. Of an id that is named twice the last entry counts.
func (r *Ranker) SetEndpoints(now float64, endpoints []Endpoint) {
	for _, b := range r.all {
		b.listed, b.usable = false, false
	}
	for _, l := range endpoints {
		b := r.byID[l.ID]
		if b == nil {
			b = &backend{Health: policy.NewHealth(now), id: l.ID, hash: arith.Mix(xxhash.Sum64String(l.ID))}
			r.byID[l.ID] = b
			r.all = append(r.all, b)
		}
		b.listed, b.usable = true, l.Usable
	}
	r.all = slices.DeleteFunc(r.all, func(b *backend) bool {
		forget := !b.listed && b.inFlight == 0 && !b.probing
		if forget {
			delete(r.byID, b.id)
		}
		return forget
	})
}

// AttemptStarted counts an attempt at a backend; Ended takes how it ended, once for each.
func (r *Ranker) AttemptStarted(id string) {
	if b := r.byID[id]; b != nil {
		b.inFlight++
	}
}

// AttemptEnded takes how an attempt that Sent counted ended. OK has the backend Connected. Error, Timeout,
// ConnectFailed and Reset demote it, and against one held to be Connected they force a refresh: all that
// are Unhealthy await validation at once, and Refetch calls for the list. Other endings tell nothing of
// the backend. A 503 of one that could not fetch a prompt's memory is Full here, and told to Handover.
func (r *Ranker) AttemptEnded(now float64, id string, how policy.Status) {
	b := r.byID[id]
	if b == nil {
		return
	}
	b.inFlight = max(b.inFlight-1, 0)
	switch how {
	case policy.OK:
		b.Served(now)
	case policy.Error, policy.Timeout, policy.ConnectFailed, policy.Reset:
		r.demote(now, b)
	}
}

// TransferEnded takes whether memory kept at a backend (the source: it has read the prompt) could be fetched
// by another. It ends no attempt. A failure demotes neither side: it counts against the source, which
// is demoted as by a failed attempt from maxFailedTransfers in a row on, until one succeeds.
func (r *Ranker) TransferEnded(now float64, source string, ok bool) {
	if b := r.byID[source]; b != nil && ok {
		b.failedTransfers = 0
	} else if b != nil {
		if b.failedTransfers++; b.failedTransfers >= maxFailedTransfers {
			r.demote(now, b)
		}
	}
}

// demote demotes a backend, and refreshes all if it was Connected.
func (r *Ranker) demote(now float64, b *backend) {
	forced := b.State() == policy.Connected
	if b.Demote(now); forced {
		r.refresh(now, 0)
	}
}

// refresh has all that are Unhealthy await validation, if one has been so for hold ms.
func (r *Ranker) refresh(now, hold float64) {
	due := slices.ContainsFunc(r.all, func(b *backend) bool {
		return b.State() == policy.Unhealthy && now-b.Since() >= hold
	})
	r.refetchDue = r.refetchDue || due
	for _, b := range r.all {
		b.probeDue = due && b.Refresh(now, 0) || b.probeDue
	}
}

// ShouldRefetch tells, after each request, whether to fetch the list now, in the background, with MinRefetchIntervalMs between
// two: after a forced refresh, or one of Rank. None waits for the list: a backend comes back without it.
func (r *Ranker) ShouldRefetch(now float64) bool {
	if !r.refetchDue || now-r.refetchedAt < r.settings.MinRefetchIntervalMs {
		return false
	}
	r.refetchDue, r.refetchedAt = false, now
	return true
}

// StartProbes appends to out the backends to validate now, in the background, and takes them to be under way:
// each once for every time it has become UnhealthyPending, MaxProbes at once at the most. The caller asks
// after Rank, Ended, Handover and Probed, and tells the end of each to Probed.
func (r *Ranker) StartProbes(out []string) []string {
	for _, b := range r.all {
		if b.probeDue && b.usable && b.State() == policy.UnhealthyPending && !b.probing && r.probesInFlight < r.settings.MaxProbes {
			b.probeDue, b.probing = false, true
			r.probesInFlight++
			out = append(out, b.id)
		}
	}
	return out
}

// ProbeEnded takes the end of a validation: Connected or Unhealthy, if the backend still awaits it.
func (r *Ranker) ProbeEnded(now float64, id string, ok bool) {
	if b := r.byID[id]; b != nil && b.probing {
		b.probing = false
		r.probesInFlight--
		b.Probed(now, ok)
	}
}

// Eject takes that the proxies of the fleet together found a backend to do far worse than its peers: it is Unhealthy until the time
// given, unless Restore comes before.
func (r *Ranker) Eject(now float64, id string, until float64) {
	if b := r.byID[id]; b != nil {
		b.Demote(now)
		b.ejectedUntil = until
	}
}

// Restore takes that the fleet's word is no longer against a backend: trials have been served there.
func (r *Ranker) Restore(now float64, id string) {
	if b := r.byID[id]; b != nil && b.ejectedUntil > 0 {
		b.ejectedUntil = 0
		b.Served(now)
	}
}

// InFlight is the number of attempts in flight at a backend.
func (r *Ranker) InFlight(id string) int {
	if b := r.byID[id]; b != nil {
		return b.inFlight
	}
	return 0
}

// PreferredBackend is the usable backend, of those that among accepts, that a key's hash puts first in the best tier that has any; "":
// there is none.
func (r *Ranker) PreferredBackend(now float64, key uint64, among func(id string) bool) string {
	home, best, tier := "", math.Inf(1), worstTier+1
	for _, b := range r.all {
		if !b.usable || !among(b.id) {
			continue
		}
		score, t := policy.Rendezvous(key, b.hash, 1), b.tier(now, r.settings.PendingTimeoutMs)
		if t < tier || t == tier && score < best {
			home, best, tier = b.id, score, t
		}
	}
	return home
}

// HashScore is a backend's place in a key's hash, lower first, the nearer to 0 the more weight (above 0) it has; an unknown id's
// is +Inf.
func (r *Ranker) HashScore(key uint64, id string, weight float64) float64 {
	if b := r.byID[id]; b != nil {
		return policy.Rendezvous(key, b.hash, weight)
	}
	return math.Inf(1)
}

// Rank appends to out the usable backends that among accepts (nil: all), in the order in which a request
// of this key (random if it has none) is to try them: by tier; in a tier, where cost is given, by cost (0
// or more, lower first, in any one unit; those within CostTolerance of a lowest are equal); then those
// under Cap(c, in flight at all the candidates, 1/size of the tier) before the others; then by Rendezvous.
// It waits for nothing: empty tiers pass down. It takes O(n log n) and, once grown, allocates nothing.
func (r *Ranker) Rank(now float64, key uint64, among func(id string) bool, c float64,
	cost func(id string) float64, out []string) []string {
	r.refresh(now, r.settings.UnhealthyHoldMs)
	r.scratch = r.scratch[:0]
	inflight, sizes := 0, [3]int{}
	for i, b := range r.all {
		if !b.usable || among != nil && !among(b.id) {
			continue
		}
		p := order.Place{Index: i, Tier: b.tier(now, r.settings.PendingTimeoutMs), Score: policy.Rendezvous(key, b.hash, 1)}
		if cost != nil {
			p.Cost = arith.Finite(cost(b.id))
		}
		inflight += b.inFlight
		sizes[p.Tier]++
		r.scratch = append(r.scratch, p)
	}
	for i := range r.scratch {
		p := &r.scratch[i]
		p.Over = float64(r.all[p.Index].inFlight) >= policy.Cap(c, inflight, 1/float64(sizes[p.Tier]))
	}
	order.Sort(r.scratch, r.settings.CostTolerance)
	for _, p := range r.scratch {
		out = append(out, r.all[p.Index].id)
	}
	return out
}
