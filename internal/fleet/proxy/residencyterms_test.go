package proxy

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/residency"
)

// TestTermsOf checks the terms of requests in flight under newer configurations.
func TestTermsOf(t *testing.T) {
	c := qt.New(t)
	in := residency.Within
	old := &routingSnapshot{
		residencyByRoute: map[string]*routeResidency{"r": {"t", in("east", "mid")}},
		termsByTenant:    map[string]residency.Terms{"t": in("east", "mid")},
	}
	bound := &subject{route: "r", tenant: "t", arrivalTerms: in("east", "mid")}
	narrow := &subject{route: "n", tenant: "t", arrivalTerms: in("east")}
	alone := &subject{route: "a", arrivalTerms: in("east")}
	free := &subject{route: "r"}
	c.Check(old.termsOf(bound).Equal(in("east", "mid")), qt.IsTrue)
	// The route was removed: the tenant's terms apply, restricted to those at arrival.
	c.Check(old.termsOf(narrow).Equal(in("east")), qt.IsTrue)
	c.Check(old.termsOf(alone).Equal(in("east")), qt.IsTrue)
	// The route got terms after the request arrived.
	c.Check(old.termsOf(free).Equal(in("east", "mid")), qt.IsTrue)
	c.Check((&routingSnapshot{}).termsOf(free).Restricted(), qt.IsFalse)
	// The configuration has neither route nor tenant any more: the terms at arrival apply.
	c.Check((&routingSnapshot{}).termsOf(bound).Equal(in("east", "mid")), qt.IsTrue)
	moved := &routingSnapshot{
		residencyByRoute: map[string]*routeResidency{"r": {"u", in("west")}},
		termsByTenant:    map[string]residency.Terms{"t": in("mid"), "u": in("west")},
	}
	// The route belongs to another tenant now, but the data does not.
	c.Check(moved.termsOf(bound).Equal(in("mid")), qt.IsTrue)
	c.Check(moved.termsOf(narrow).Equal(in()), qt.IsTrue)
}
