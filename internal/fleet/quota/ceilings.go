package quota

import (
	"maps"
	"slices"
	"time"
)

//go:generate msgp -tests=false

// maxNamed is the maximum number of tenants listed in Ceilings; for more, Ceilings.All is set instead.
const maxNamed = 64

// Ceilings lists the tenants of which an allocator may have allocated all slots; of the others it allocates at most
// Slots.Normal. Ceilings are committed to the control plane's record before an allocator uses them, so that the next
// allocator, which does not know the holdings, knows how many slots cannot have been allocated. A Ceilings value is
// immutable; nil raises no tenant.
type Ceilings struct {
	// All raises every tenant.
	All bool `msg:"a,omitempty"`
	// Tenants are the raised tenants, sorted.
	Tenants []string `msg:"t,omitempty"`
	// Complete means that Holders lists every proxy that may hold slots or has used one within a window.
	Complete bool `msg:"c,omitempty"`
	// Holders are names of proxies, sorted.
	Holders []string `msg:"h,omitempty"`
}

// Raised reports whether a tenant's ceiling is raised.
func (c *Ceilings) Raised(tenant string) bool {
	if c == nil {
		return false
	}
	if c.All {
		return true
	}
	_, found := slices.BinarySearch(c.Tenants, tenant)
	return found
}

// mayHold reports whether these ceilings let a proxy hold slots.
func (c *Ceilings) mayHold(name string) bool {
	if c == nil || !c.Complete {
		return true
	}
	_, found := slices.BinarySearch(c.Holders, name)
	return found
}

// Equal reports whether both raise the same tenants and name the same holders.
func (c *Ceilings) Equal(other *Ceilings) bool {
	if c == nil {
		c = &Ceilings{}
	}
	if other == nil {
		other = &Ceilings{}
	}
	return c.All == other.All &&
		c.Complete == other.Complete &&
		slices.Equal(c.Tenants, other.Tenants) &&
		slices.Equal(c.Holders, other.Holders)
}

// newCeilings returns the ceilings that raise the tenants given.
func newCeilings(tenants map[string]time.Duration) *Ceilings {
	if len(tenants) > maxNamed {
		return &Ceilings{All: true}
	}
	c := &Ceilings{}
	for tenant := range tenants {
		c.Tenants = append(c.Tenants, tenant)
	}
	slices.Sort(c.Tenants)
	return c
}

// name makes the ceilings complete, with the given proxies as the only ones that may hold slots.
func (c *Ceilings) name(holders map[string]bool) {
	c.Complete = true
	c.Holders = slices.Sorted(maps.Keys(holders))
}
