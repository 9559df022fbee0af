package quota

import (
	"math"
	"time"

	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/settings"
)

const (
	// marginShare is the share of the rule's tolerance that is made use of, without a unit. The rest is for requests
	// that reach two backends.
	marginShare = 0.8
	// normalShare is the share of a tenant's slots that are handed out while its ceiling isn't raised. The rest is what
	// an allocator can hand out at once that knows no holdings.
	normalShare = 0.65
)

// Rule is by what a tenant's slots are counted.
type Rule struct {
	// Window is the time over which requests count.
	Window time.Duration
	// Excess is the fraction of a quota, and Extra the number of requests, by which a window may be above it.
	Excess float64
	Extra  float64
	// Lease is for how long a holder may use its slots after a report that was answered.
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

// Slots is how many slots a tenant has.
type Slots struct {
	// Total is how many all holders together may hold.
	Total int
	// Normal is how many they may hold while the tenant's ceiling isn't raised.
	Normal int
}

// SlotsOf returns how many slots an account has; ok is false where it has no quota.
func (r *Rule) SlotsOf(account *routingconfig.Account) (slots Slots, ok bool) {
	if !account.Limited() {
		return Slots{}, false
	}
	quota := account.Rate*r.Window.Seconds() + account.Burst
	total := roundDown(quota*(1+marginShare*r.Excess) + marginShare*r.Extra)
	return Slots{Total: total, Normal: int(normalShare * float64(total))}, true
}

// roundDown rounds down, and bounds what no deployment reaches.
func roundDown(n float64) int { return int(min(math.Floor(n), math.MaxInt32)) }

// Limits are the slots of all tenants that have a quota, by name.
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
