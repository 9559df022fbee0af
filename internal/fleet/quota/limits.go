package quota

import (
	"math"
	"time"

	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/settings"
)

const (
	// marginShare is the fraction of the rule's tolerance that slots may use. The remainder is for requests that reach
	// two backends.
	marginShare = 0.8
	// normalShare is the fraction of a tenant's slots that may be allocated while its ceiling isn't raised. A new
	// allocator, which does not know the holdings, can allocate the remainder at once.
	normalShare = 0.65
)

// Rule is the deployment-wide rule by which the slots of tenants are calculated.
type Rule struct {
	// Window is the length of the window in which requests are counted.
	Window time.Duration
	// Excess is the fraction of a quota, and Extra the number of requests, by which the requests in a window may exceed
	// the quota.
	Excess float64
	Extra  float64
	// Lease is how long a holder may use its slots after sending a report that was answered.
	Lease time.Duration
}

// NewRule returns the rule of a deployment.
func NewRule(bounds *settings.Bounds) Rule {
	return Rule{
		Window: bounds.QuotaWindow,
		Excess: bounds.QuotaExcess,
		Extra:  bounds.QuotaExtra,
		Lease:  bounds.Contact,
	}
}

// Slots is the number of slots of a tenant.
type Slots struct {
	// Total is the maximum number of slots of all holders together.
	Total int
	// Normal is that maximum while the tenant's ceiling isn't raised.
	Normal int
}

// SlotsOf returns the number of slots of an account; ok is false if it has no quota.
func (r *Rule) SlotsOf(account *routingconfig.Account) (slots Slots, ok bool) {
	if !account.Limited() {
		return Slots{}, false
	}
	quota := account.Rate*r.Window.Seconds() + account.Burst
	total := roundDown(quota*(1+marginShare*r.Excess) + marginShare*r.Extra)
	return Slots{Total: total, Normal: int(normalShare * float64(total))}, true
}

// roundDown rounds down to an integer of at most math.MaxInt32, so that the conversion can't overflow.
func roundDown(n float64) int { return int(min(math.Floor(n), math.MaxInt32)) }

// Limits maps the name of each tenant that has a quota to its slots.
type Limits map[string]Slots

// LimitsOf returns the limits of a configuration's accounts.
func (r *Rule) LimitsOf(accounts []*routingconfig.Account) Limits {
	limits := make(Limits, len(accounts))
	for _, account := range accounts {
		if slots, ok := r.SlotsOf(account); ok {
			limits[account.Name] = slots
		}
	}
	return limits
}
