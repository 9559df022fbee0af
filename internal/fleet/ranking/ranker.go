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

const (
	// maxFailedTransfers is the number of failed KV cache transfers in a row from which on each one demotes its source.
	// A single failure can be due to an expired handle or to a network partition of the fetching backend; three in a
	// row seldom are.
	maxFailedTransfers = 3
	// Defaults, in ms, of settings that are 0.
	defaultPendingTimeoutMs     = 60000
	defaultUnhealthyHoldMs      = 60000
	defaultMinRefetchIntervalMs = 1000
	// worstTier is the tier of backends that are Unhealthy; 0 is the best.
	worstTier = 2
)

// RankerSettings configures a Ranker.
type RankerSettings struct {
	// MaxProbes is the maximum number of probes in flight. 0 disables probes; the next attempt then validates a
	// backend.
	MaxProbes int
	// PendingTimeoutMs is how long a backend stays UnhealthyPending before it ranks as healthy again, ms. 0 selects the
	// default of 60,000; a negative value means no time.
	PendingTimeoutMs float64
	// UnhealthyHoldMs is how long a backend stays Unhealthy before the next request makes it UnhealthyPending, ms. 0
	// selects the default of 60,000; a negative value means no time.
	UnhealthyHoldMs float64
	// MinRefetchIntervalMs is the minimum time between two fetches of the endpoint list, ms. 0 selects the default of
	// 1,000.
	MinRefetchIntervalMs float64
	// CostTolerance is the maximum difference from the lowest cost at which a cost is treated as equal to it, in the
	// unit of the costs. Default 0.
	CostTolerance float64
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	// ID identifies one incarnation of a backend.
	ID string
	// Usable is true if requests may be sent to the backend. Other backends keep their health state but are not ranked.
	Usable bool
}

// Ranker keeps one proxy's state of the listed backends and orders them for a request. Unknown backend ids are ignored.
// It is not safe for concurrent use.
type Ranker struct {
	settings RankerSettings
	byID     map[string]*backend
	all      []*backend // listed, or removed and not yet dropped by SetEndpoints, in the order of their addition

	probesInFlight int
	refetchDue     bool    // to fetch the endpoint list: refresh made Unhealthy backends UnhealthyPending
	refetchedAt    float64 // time when ShouldRefetch last returned true, ms

	scratch []order.Candidate // buffer of Rank, reused to avoid allocations
}

// backend is a Ranker's state for one backend.
type backend struct {
	policy.Health
	id     string
	hash   uint64
	listed bool
	usable bool

	inFlight        int // number of attempts in flight
	failedTransfers int // number of failed transfers from it since the last success

	probeDue bool // it has not been probed since it became UnhealthyPending
	probing  bool

	ejectedUntil float64 // end of its ejection, ms; 0: it isn't ejected
}

// NewRanker returns a Ranker with an empty endpoint list.
func NewRanker(settings RankerSettings) *Ranker {
	settings.PendingTimeoutMs = cmp.Or(settings.PendingTimeoutMs, defaultPendingTimeoutMs)
	settings.UnhealthyHoldMs = cmp.Or(settings.UnhealthyHoldMs, defaultUnhealthyHoldMs)
	settings.MinRefetchIntervalMs = cmp.Or(settings.MinRefetchIntervalMs, defaultMinRefetchIntervalMs)
	return &Ranker{
		settings:    settings,
		byID:        map[string]*backend{},
		refetchedAt: math.Inf(-1),
	}
}

// SetEndpoints replaces the endpoint list. A new backend is Unknown. A removed one is no longer ranked, and its state
// is dropped at the first SetEndpoints at which it has no attempt or probe in flight. If an id is listed twice, the
// last entry is used.
func (r *Ranker) SetEndpoints(now float64, endpoints []Endpoint) {
	for _, b := range r.all {
		b.listed = false
		b.usable = false
	}
	for _, endpoint := range endpoints {
		b := r.byID[endpoint.ID]
		if b == nil {
			b = &backend{
				Health: policy.NewHealth(now),
				id:     endpoint.ID,
				hash:   arith.Mix(xxhash.Sum64String(endpoint.ID)),
			}
			r.byID[endpoint.ID] = b
			r.all = append(r.all, b)
		}
		b.listed = true
		b.usable = endpoint.Usable
	}
	r.all = slices.DeleteFunc(r.all, func(b *backend) bool {
		forget := !b.listed && b.inFlight == 0 && !b.probing
		if forget {
			delete(r.byID, b.id)
		}
		return forget
	})
}
