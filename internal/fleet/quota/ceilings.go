package quota

import (
	"maps"
	"slices"
	"time"
)

//go:generate msgp -tests=false

// maxNamed bounds the tenants that Ceilings name one by one; more are told as all.
const maxNamed = 64

// Ceilings say of which tenants an allocator may have handed out all slots; of the others it hands out Slots.Normal at
// the most. They are committed to the control plane's record before an allocator makes use of them, so that the next
// one, which knows no holdings, knows how many slots can't be out. A value is not changed once it is made; the nil
// Ceilings raise no tenant.
type Ceilings struct {
	// All raises every tenant.
	All bool `msg:"a,omitempty"`
	// Tenants are those raised, sorted.
	Tenants []string `msg:"t,omitempty"`
	// Complete says that Holders are all proxies that may hold slots, or have used one within a window.
	Complete bool `msg:"c,omitempty"`
	// Holders are names of proxies, sorted.
	Holders []string `msg:"h,omitempty"`
}

// Raised returns whether a tenant is raised.
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

// mayHold returns whether a proxy may hold slots as far as these ceilings go.
func (c *Ceilings) mayHold(name string) bool {
	if c == nil || !c.Complete {
		return true
	}
	_, found := slices.BinarySearch(c.Holders, name)
	return found
}

// Equal returns whether both say the same.
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

// name makes the ceilings complete: the proxies given are all that may hold slots.
func (c *Ceilings) name(holders map[string]bool) {
	c.Complete = true
	c.Holders = slices.Sorted(maps.Keys(holders))
}
