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
	// maxFailedTransfers is how many KV cache transfers in a row must fail to demote their source. Some handles
	// expire, and the backend that fetches may be the one that is cut off; three in a row are seldom explained by
	// either.
	maxFailedTransfers = 3
	// defaultPendingTimeoutMs and the others stand in for settings that are 0, ms.
	defaultPendingTimeoutMs     = 60000
	defaultUnhealthyHoldMs      = 60000
	defaultMinRefetchIntervalMs = 1000
	// worstTier is the tier of backends that are Unhealthy; 0 is the best.
	worstTier = 2
)

// RankerSettings bound a Ranker.
type RankerSettings struct {
	// MaxProbes is how many probes may be in flight at once. 0: there are none, and the next attempt validates a
	// backend.
	MaxProbes int
	// PendingTimeoutMs is how long a backend stays in UnhealthyPending until it ranks as healthy again, ms. 0 stands
	// for 60,000, below 0 for no time.
	PendingTimeoutMs float64
	// UnhealthyHoldMs is how long a backend stays in Unhealthy until the next request makes it UnhealthyPending, ms.
	// 0 stands for 60,000, below 0 for no time.
	UnhealthyHoldMs float64
	// MinRefetchIntervalMs is the least time between two calls for the endpoint list, ms. 0 stands for 1,000.
	MinRefetchIntervalMs float64
	// CostTolerance is how far above the lowest a cost may be and still count as equal to it, in the unit of the
	// costs. Default 0.
	CostTolerance float64
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	// ID names one incarnation of a backend.
	ID string
	// Usable tells that requests may be sent there. The others keep their health state and are not ranked.
	Usable bool
}

// Ranker holds one proxy's own view of the listed backends and orders them for a request. Backend ids that it doesn't
// know are ignored. It is not safe for concurrent use.
type Ranker struct {
	settings RankerSettings
	byID     map[string]*backend
	all      []*backend // listed, or not yet forgotten, in the order they came

	probesInFlight int
	refetchDue     bool    // a failure calls for the endpoint list
	refetchedAt    float64 // last call for it, ms

	scratch []order.Candidate // of Rank, kept to allocate nothing
}

// backend is what a Ranker knows of one.
type backend struct {
	policy.Health
	id     string
	hash   uint64
	listed bool
	usable bool

	inFlight        int // attempts
	failedTransfers int // transfers from it that failed since one succeeded

	probeDue bool // it has not been probed since it entered UnhealthyPending
	probing  bool

	ejectedUntil float64 // the fleet ejected it until then, ms; 0: it isn't ejected
}

// NewRanker returns a Ranker of an empty list.
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

// SetEndpoints replaces the endpoint list. A new backend is Unknown; one that is gone is no longer ranked, and
// forgotten once no attempt or probe of it is in flight. Of an id that is listed twice the last entry counts.
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
