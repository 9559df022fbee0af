package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/simulation"
)

// residency runs the residency command for a tenant against one core machine.
func (f *fleet) residency(ctl, tenant string) (code int, report externalapi.ResidencyReport, said string) {
	f.Helper()
	code, out, errOut := fleetctl(f, "residency", tenant, "--json", "--control", ctl, "--within", "3s")
	if code == exitOK {
		f.Assert(json.Unmarshal([]byte(out), &report), qt.IsNil, qt.Commentf("%s", out))
	}
	return code, report, errOut
}

// residencyRow waits until each running core machine reports a single region for the tenant's data, with the given
// number of plain requests.
func (f *fleet) residencyRow(tenant string, plain int64) (r externalapi.ResidencyRow) {
	f.Helper()
	for _, m := range f.core {
		var last any
		f.eventually(testTimeout, "the report tells of all requests", func() bool {
			code, report, said := f.residency(m.boot.Ctl, tenant)
			last = []any{code, report, said}
			if code != exitOK || len(report.Rows) != 1 {
				return false
			}
			r = report.Rows[0]
			f.Assert(r.Plain <= plain, qt.IsTrue, qt.Commentf("counted twice: %+v, asked for %d", r, plain))
			return r.Plain == plain
		})
		f.Assert(r.Tenant, qt.Equals, tenant, qt.Commentf("%v", last))
		f.Assert(r.Region, qt.Equals, "kanto")
		f.Assert(r.Last.Before(r.First), qt.IsFalse)
	}
	return r
}

// TestResidencyReportSurvivesKills kills a proxy, its node agent, the primary and at last the complete core, one after
// the other, with requests of a tenant in between. The report keeps the earliest time throughout, and counts each
// request once.
func TestResidencyReportSurvivesKills(t *testing.T) {
	f := newFleet(t, fleetOptions{flags: map[string][]string{"control-plane": {"--readings", "200ms"}}})
	rep, err := f.operator.Update(f.withTimeout(testTimeout), f.version, object{"ver": f.version + 1, "upsert": object{
		"tenants": list{object{"name": "labs", "regions": list{"kanto"}}, object{"name": "idle", "regions": list{"kanto"}}},
		"routing": list{object{"name": "held", "hostname": "held.example", "pfx": "/", "kind": "readonly",
			"deadline_ms": 4000, "svc": lookups, "tenant": "labs"}}}})
	f.Assert(err, qt.IsNil)
	f.Assert(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.Body))
	f.version++
	asked := int64(0)
	ask := func(edge, n int) {
		f.Helper()
		for range n {
			r := lookup()
			r.Host, r.Path = "held.example", "/x"
			var res simulation.Result
			f.eventually(testTimeout, "the tenant's route is in force, and the client's connection is to the proxy that lives", func() bool {
				res = f.clients[edge].Do(f.ctx, r)
				return res.Status != http.StatusNotFound && res.Status != 0
			})
			f.checkServed(res, "held")
			asked++
		}
	}
	code, _, said := f.residency(f.core[0].boot.Ctl, "nobody")
	f.Assert(code, qt.Equals, exitFailure, qt.Commentf("%s", said))
	f.Assert(said, qt.Contains, "nothing is known of such a name")
	code, report, _ := f.residency(f.core[0].boot.Ctl, "idle")
	f.Assert(code, qt.Equals, exitOK)
	f.Assert(report.Rows, qt.HasLen, 0)

	ask(0, 5)
	ask(1, 3)
	first := f.residencyRow("labs", asked)
	since := func(what string) {
		f.Helper()
		r := f.residencyRow("labs", asked)
		f.Assert(r.First, qt.Equals, first.First, qt.Commentf("after %s", what))
		f.Assert(r.Last.After(first.Last), qt.IsTrue, qt.Commentf("after %s", what))
		t.Logf("after %s: %+v", what, r)
	}

	edge := f.edge[0]
	edge.kill("proxy")
	edge.start("proxy")
	f.awaitReady(edge)
	ask(0, 4)
	since("a proxy's kill")

	edge.kill("node-agent")
	ask(0, 2)
	edge.start("node-agent")
	ask(0, 2)
	since("a node agent's kill")

	primary := f.primary()
	ask(0, 1)
	ask(1, 1)
	primary.kill("control-plane") // parts of the report may be in transit
	ask(0, 3)
	primary.start("control-plane")
	since("the primary's kill")

	ask(1, 2)
	var all sync.WaitGroup
	for _, m := range f.core {
		all.Go(func() { m.kill("control-plane") })
	}
	all.Wait()
	ask(0, 2)
	ask(1, 2)
	for _, m := range f.core {
		m.start("control-plane")
	}
	since("a kill of the whole core")

	// A graceful shutdown delivers the report on the last requests.
	end := func(roles ...string) {
		for _, role := range roles {
			f.expectExit(edge.programs[role])
			edge.programs[role].Signal(syscall.SIGTERM)
		}
		ask(0, 2) // clients that arrive before the platform stops sending them are served
		began := time.Now()
		for _, role := range roles {
			code, err := edge.programs[role].Wait(f.withTimeout(testTimeout))
			f.Assert(err, qt.IsNil)
			f.Assert(code, qt.Equals, 0, qt.Commentf("%s", role))
			t.Logf("%s ended after %v", role, time.Since(began))
		}
	}
	ask(0, 1)
	end("proxy")
	since("a proxy's orderly end")
	edge.start("proxy")
	f.awaitReady(edge)
	ask(0, 1)
	end("proxy", "node-agent")
	since("a machine's orderly end")
	// The configuration is unchanged, and can still be changed.
	rep = f.applyAddRoute(f.version + 1)
	f.Assert(rep.Status, qt.Equals, http.StatusOK)
	f.checkConfig(f.version)
	f.checkRules()
}

// TestNoResidencyReportsWithoutTerms: without tenants no residency report is written, and the replicated log contains
// only the operator's changes.
func TestNoResidencyReportsWithoutTerms(t *testing.T) {
	f := newFleet(t, fleetOptions{flags: map[string][]string{"control-plane": {"--readings", "1ms"}}})
	load := f.traffic([]int{0, 1})
	load.awaitMore(40, 0, 1)
	load.stop()
	for _, m := range f.core {
		code, out, errOut := fleetctl(f, "residency", "--json", "--control", m.boot.Ctl)
		f.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
		var report externalapi.ResidencyReport
		f.Assert(json.Unmarshal([]byte(out), &report), qt.IsNil)
		f.Assert(report.Rows, qt.HasLen, 0)
		f.Assert(report.Seq, qt.Equals, f.version, qt.Commentf("one change for each version"))
		f.Assert(strings.Contains(m.programs["control-plane"].Output(), "reading"), qt.IsFalse)
	}
	f.checkRules()
}

// TestResidencyExitCodes runs the command against a fake control plane.
func TestResidencyExitCodes(t *testing.T) {
	c := qt.New(t)
	s := newFakeControlPlane(c)
	for _, one := range []struct {
		args string
		code int
		says string
	}{
		{"residency kochi-labs", exitOK, "tenant kochi-labs"},
		{"residency --route r-old", exitOK, "route r-old"},
		{"residency new-labs", exitOK, "0 rows"},
		{"residency nobody", exitFailure, "nothing is known"},
		{"residency kochi-labs --route r-old", exitUsage, "not both"},
		{"residency kochi-labs --control 1", exitUsage, "no IP:port"},
		{"residency kochi-labs --within 200ms --control " + unusedAddr(c), exitFailure, "nothing was sent"},
	} {
		args := strings.Fields(one.args)
		if !strings.Contains(one.args, "--control") {
			args = append(args, "--control", s.addr)
		}
		code, out, errOut := fleetctl(t, args...)
		c.Check(code, qt.Equals, one.code, qt.Commentf("%s: %s%s", one.args, out, errOut))
		c.Check(out+errOut, qt.Contains, one.says)
	}
}
