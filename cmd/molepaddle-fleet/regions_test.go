package main

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTenantResidencyTerms submits residency terms of tenants: a region that the deployment doesn't have is rejected
// with its path, a valid one is acknowledged and shown.
func TestTenantResidencyTerms(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	terms := func(version uint64, region string) object {
		return object{"ver": version, "upsert": object{"tenants": list{object{"name": "labs", "regions": list{region}}},
			"routing": list{object{"name": "held", "hostname": "held.example", "pfx": "/", "kind": "readonly",
				"deadline_ms": 4000, "svc": lookups, "tenant": "labs"}}}}
	}
	rep, err := f.operator.Update(f.withTimeout(testTimeout), f.version, terms(f.version+1, "honshu"))
	f.Assert(err, qt.IsNil)
	f.Assert(rep.Status, qt.Equals, http.StatusBadRequest)
	f.Assert(string(rep.Body), qt.Contains,
		`{"place":"upsert.tenants[0].regions[0]","text":"the deployment has no region \"honshu\""}`)
	rep, err = f.operator.Update(f.withTimeout(testTimeout), f.version, terms(f.version+1, "kanto"))
	f.Assert(err, qt.IsNil)
	f.Assert(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.Body))
	f.version++
	rep, err = f.operator.Show(f.withTimeout(testTimeout))
	f.Assert(err, qt.IsNil)
	f.Assert(string(rep.Body), qt.Contains, `"tenants":[{"name":"labs","regions":["kanto"]}]`)
}
