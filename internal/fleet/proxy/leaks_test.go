package proxy

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// plantedLeak is a fault that is planted in a copy of the sources by replacing each old text, which must occur exactly
// once. The compiler or the tests of residency-bound requests have to detect it, most of them through
// simulation.Judge's Leaks.
type plantedLeak struct {
	name     string
	detector string              // "compiler", or the pattern of the tests that detect it
	changes  map[string][]string // by file: old, new, old, new ...
}

const (
	placementTests = "^TestPlacementWithinTerms$"
	residencyTests = "^TestResidency"
	drawnDaysTests = "^TestDrawnDays$"
)

// withoutSendCheck removes the check when a connection is acquired, so that only the one at selection is left.
var withoutSendCheck = []string{
	"if p.endpoint == nil || p.releaseOnly || !p.endpoint.Allowed(t) {",
	"if p.endpoint == nil || p.releaseOnly {",
}

// withoutSelectionCheck also removes the check of the selected backend.
var withoutSelectionCheck = []string{"if !e.Allowed(t) {\n\t\treturn Permit{}, ErrOutside\n\t}\n", ""}

// unrestrictedDecoder selects the decode backend for a KV cache without regard to the terms.
var unrestrictedDecoder = []string{
	"decoders := func(id string) bool { return s.canDecode(req, id) }\n" +
		"\tcost := func(id string) float64 {\n\t\tutilization := s.engines.Utilization(id)\n\t\tdelay",
	"decoders := func(id string) bool { return !req.tried[id] && s.byID[id].Phase == externalapi.PhaseDecode }\n" +
		"\tcost := func(id string) float64 {\n\t\tutilization := s.engines.Utilization(id)\n\t\tdelay",
}

const (
	fileResidency      = "../residency/residency.go"
	fileResidencyCheck = "residencycheck.go"
	fileExchange       = "exchange.go"
	fileErrors         = "errors.go"
	fileOutbound       = "outboundrequest.go"
	filePlain          = "plain.go"
	fileRetries        = "retries.go"
	fileUpstreams      = "upstreams.go"
	filePolicies       = "selectionpolicies.go"
	fileTerms          = "residencyterms.go"
	fileSnapshot       = "routingsnapshot.go"
	filePlacement      = "placement.go"
	fileGenerate       = "generation.go"
	filePrefill        = "prefill.go"
	fileResume         = "resume.go"
)

var residencyLeaks = []plantedLeak{
	// Prevented by the type system.
	{
		name:     "a send without a permit",
		detector: "compiler",
		changes: map[string][]string{
			filePrefill: {
				"cr.startExchange(ctx, a.permit, &cr.outbound, &opts, cr.connectDeadline(), deadline)",
				"cr.startExchange(ctx, a.backend, &cr.outbound, &opts, cr.connectDeadline(), deadline)",
			},
		},
	},
	{
		name:     "a permit constructed directly",
		detector: "compiler",
		changes: map[string][]string{
			filePlacement: {
				"pl.decodePermit, err = pl.decode.endpoint.Permit(terms)",
				"pl.decodePermit, err = (residency.Permit{endpoint: pl.decode.endpoint}), error(nil)",
			},
		},
	},
	{
		name:     "a connection that bypasses the permit",
		detector: "compiler",
		changes: map[string][]string{
			fileResidencyCheck: {
				"return permit.AcquireConn(ctx, cr.terms(), out.id)",
				"return cr.svc.byID[permit.ID()].endpoint.conns.Lend(ctx, out.id)",
			},
		},
	},
	{
		name:     "a connection from the pool",
		detector: "compiler",
		changes: map[string][]string{
			fileResidencyCheck: {
				"return permit.AcquireConn(ctx, cr.terms(), out.id)",
				"return cr.proxy.pool.Way(permit.Address()).Lend(ctx, out.id)",
			},
		},
	},
	{
		name:     "a handle without a permit",
		detector: "compiler",
		changes: map[string][]string{
			filePrefill: {
				"\t\tpermit: a.permit,\n\t\ttokens:",
				"\t\tpermit: a.backend,\n\t\ttokens:",
			},
		},
	},
	// Faults of the selection only: the check at the send rejects the request, so that requests are lost.
	{
		name:     "plain requests are chosen anywhere",
		detector: placementTests,
		changes: map[string][]string{
			filePlacement: {
				"return !tried[id] && (!restricted || s.withinTerms(id, terms))\n",
				"return !tried[id] || restricted && tried[id] && false\n",
			},
		},
	},
	{
		name:     "prompts are placed anywhere",
		detector: placementTests,
		changes: map[string][]string{
			filePolicies: {
				"return split && s.canPrefill(req, id) || s.canDecode(req, id)",
				"return !req.tried[id] && (split && s.byID[id].Phase == externalapi.PhasePrefill " +
					"|| s.byID[id].Phase == externalapi.PhaseDecode)",
			},
		},
	},
	{
		name:     "KV caches go to any decode backend",
		detector: placementTests,
		changes: map[string][]string{
			filePolicies: unrestrictedDecoder,
		},
	},
	// Faults of the terms.
	{
		name:     "an unknown region is allowed",
		detector: placementTests,
		changes: map[string][]string{
			fileResidency: {
				`return region != "" && slices.Contains(t.regions, region)`,
				`return region == "" || slices.Contains(t.regions, region)`,
			},
		},
	},
	{
		name:     "an empty intersection allows any region",
		detector: "^TestTermsOf$",
		changes: map[string][]string{
			fileResidency: {
				"return Terms{restricted: true, regions: both}",
				"return Terms{restricted: len(both) > 0, regions: both}",
			},
		},
	},
	{
		name:     "a tenant's routes carry no terms",
		detector: residencyTests + "Steady",
		changes: map[string][]string{
			fileTerms: {
				"bound.terms = tenantTerms\n",
				"_ = tenantTerms\n",
			},
		},
	},
	{
		name:     "terms are those of the route at arrival",
		detector: residencyTests + "Withdrawn",
		changes: map[string][]string{
			fileResidencyCheck: {
				"if snapshot := rc.latest.Load(); snapshot != rc.snapshot {",
				"if snapshot := rc.latest.Load(); false {",
			},
			fileResume: {
				"cr.tried, false, cr.terms())",
				"cr.tried, false, cr.subject.arrivalTerms)",
			},
		},
	},
	{
		name:     "attempts in flight are not cancelled",
		detector: residencyTests + "Withdrawn",
		changes: map[string][]string{
			fileSnapshot: {
				"p.residency.cancelWithdrawn(snapshot)",
				"",
			},
		},
	},
	{
		name:     "streams whose route got terms continue",
		detector: residencyTests + "TermsAppear",
		changes: map[string][]string{
			fileResidencyCheck: {
				"if terms := rc.terms(); terms.Restricted() && e.permit.Check(terms) != nil {",
				"if terms := rc.terms(); terms.Restricted() && false {",
			},
		},
	},
	{
		name:     "the source of a handle is not tracked",
		detector: residencyTests + "HandleWithdrawn",
		changes: map[string][]string{
			fileResidencyCheck: {
				"send.permits = append(send.permits, opts.handle.permit)",
				"",
			},
		},
	},
	{
		name:     "a handle outside the terms is not released",
		detector: residencyTests + "HandleWithdrawn",
		changes: map[string][]string{
			fileResidencyCheck: {
				"return permit.AcquireReleaseConn(ctx, out.id)",
				"return permit.AcquireConn(ctx, cr.terms(), out.id)",
			},
		},
	},
	{
		name:     "a corrected zone is not applied",
		detector: residencyTests + "Relisted",
		changes: map[string][]string{
			fileUpstreams: {
				"old.endpoint.SetZone(b.Zone)",
				"",
			},
		},
	},
	// Both checks removed: data is held outside the terms, which the judge detects.
	{
		name:     "no check at all",
		detector: residencyTests + "Steady",
		changes: map[string][]string{
			fileResidency: append(append([]string{}, withoutSendCheck...), withoutSelectionCheck...),
			fileUpstreams: {
				"return s.byID[id].endpoint.Allowed(terms)",
				"return true",
			},
		},
	},
	{
		name:     "requests spill over when no allowed backend is left",
		detector: residencyTests + "Overload$",
		changes: map[string][]string{
			fileResidency: append(append([]string{}, withoutSendCheck...), withoutSelectionCheck...),
			filePlacement: {
				"if len(s.ranked) == 0 {\n\t\t\treturn permit, false\n\t\t}\n\t\tid = s.ranked[0]",
				"if len(s.ranked) == 0 {\n" +
					"\t\t\ts.ranked = s.ranker.Rank(s.now(), key, func(id string) bool { return " +
					"!tried[id] }, plainLoadFactor, nil, s.ranked[:0])\n\t\t}\n\t\tif len(s.ranked) == 0 {\n" +
					"\t\t\treturn permit, false\n\t\t}\n\t\tid = s.ranked[0]",
			},
		},
	},
	{
		name:     "retries go anywhere",
		detector: residencyTests + "UnderFaults$/^[a-z_]+$",
		changes: map[string][]string{
			fileResidency: withoutSendCheck,
			filePlain: {
				"cr.svc.selectPlain(key, cr.retryable(), cr.tried, cr.terms())",
				"cr.svc.selectPlain(key, cr.retryable(), cr.tried, " +
					"map[bool]residency.Terms{true: cr.terms()}[len(cr.tried) == 0])",
				`"github.com/cespare/xxhash/v2"`,
				"\"github.com/cespare/xxhash/v2\"\n\n\t\"molepaddle/internal/fleet/residency\"",
			},
		},
	},
	{
		name:     "streams are resumed anywhere",
		detector: residencyTests + "Resumes$",
		changes: map[string][]string{
			fileResidency: withoutSendCheck,
			fileResume: {
				"cr.tried, false, cr.terms())",
				"cr.tried, false, residency.Terms{})",
				`"molepaddle/internal/fleet/scheduler"`,
				"\"molepaddle/internal/fleet/residency\"\n\t\"molepaddle/internal/fleet/scheduler\"",
			},
		},
	},
	{
		name:     "KV caches go to any decode backend, unchecked",
		detector: residencyTests + "Decoders$",
		changes: map[string][]string{
			fileResidency: append(append([]string{}, withoutSendCheck...), withoutSelectionCheck...),
			filePolicies:  unrestrictedDecoder,
		},
	},
	{
		name:     "the send checks other terms",
		detector: residencyTests + "Withdrawn",
		changes: map[string][]string{
			fileResidencyCheck: {
				"return permit.AcquireConn(ctx, cr.terms(), out.id)",
				"return permit.AcquireConn(ctx, residency.Terms{}, out.id)",
				"if err := p.Check(terms); err != nil {",
				"_ = terms\n\t\tif err := p.Check(rc.subject.arrivalTerms); err != nil {",
			},
			fileGenerate: {
				"cr.svc.selectPlacement(cr.route.Name, cr.retryable(), prompt, target, cr.tried, " +
					"g.split, terms)",
				"cr.svc.selectPlacement(cr.route.Name, cr.retryable(), prompt, target, cr.tried, " +
					"g.split, cr.subject.arrivalTerms)",
			},
			fileResume: {
				"cr.tried, false, cr.terms())",
				"cr.tried, false, cr.subject.arrivalTerms)",
			},
		},
	},
	// Faults that TestDrawnDays detects, most of them by requests that are lost needlessly.
	{
		name:     "plain requests are chosen anywhere, on drawn days",
		detector: drawnDaysTests,
		changes: map[string][]string{
			filePlacement: {
				"return !tried[id] && (!restricted || s.withinTerms(id, terms))\n",
				"return !tried[id] || restricted && tried[id] && false\n",
			},
		},
	},
	{
		name:     "attempts in flight are not cancelled, on drawn days",
		detector: drawnDaysTests,
		changes: map[string][]string{
			fileSnapshot: {
				"p.residency.cancelWithdrawn(snapshot)",
				"",
			},
		},
	},
	{
		name:     "nothing is checked, on drawn days",
		detector: drawnDaysTests,
		changes: map[string][]string{
			fileResidency: append(append([]string{}, withoutSendCheck...), withoutSelectionCheck...),
			fileUpstreams: {
				"return s.byID[id].endpoint.Allowed(terms)",
				"return true",
			},
		},
	},
	{
		name:     "retries go anywhere, on drawn days",
		detector: drawnDaysTests,
		changes: map[string][]string{
			fileResidency: withoutSendCheck,
			filePlain: {
				"cr.svc.selectPlain(key, cr.retryable(), cr.tried, cr.terms())",
				"cr.svc.selectPlain(key, cr.retryable(), cr.tried, " +
					"map[bool]residency.Terms{true: cr.terms()}[len(cr.tried) == 0])",
				`"github.com/cespare/xxhash/v2"`,
				"\"github.com/cespare/xxhash/v2\"\n\n\t\"molepaddle/internal/fleet/residency\"",
			},
		},
	},
	{
		name:     "streams are resumed anywhere, on drawn days",
		detector: drawnDaysTests,
		changes: map[string][]string{
			fileResidency: withoutSendCheck,
			fileResume: {
				"cr.tried, false, cr.terms())",
				"cr.tried, false, residency.Terms{})",
				`"molepaddle/internal/fleet/scheduler"`,
				"\"molepaddle/internal/fleet/residency\"\n\t\"molepaddle/internal/fleet/scheduler\"",
			},
		},
	},
	{
		name:     "a corrected zone is not applied, on drawn days",
		detector: drawnDaysTests,
		changes: map[string][]string{
			fileUpstreams: {
				"old.endpoint.SetZone(b.Zone)",
				"",
			},
		},
	},
	{
		name:     "an address is assumed to belong to its former backend",
		detector: drawnDaysTests,
		changes: map[string][]string{
			fileOutbound: {
				"b = appendField(b, externalapi.HeaderTargetBackend, o.target)",
				"_ = o.target",
			},
		},
	},
	{
		name:     "a request that may have run is rejected as not run",
		detector: drawnDaysTests,
		changes: map[string][]string{
			fileErrors: {
				"case cr.mayHaveRun:\n\t\treturn &rejection{status: http.StatusBadGateway, reason: reason}",
				"case cr.mayHaveRun:\n" +
					"\t\treturn &rejection{status: http.StatusServiceUnavailable, retryAfter: " +
					"minRetryAfter, reason: reason}",
			},
		},
	},
	{
		name:     "a request that may have run is sent again",
		detector: drawnDaysTests,
		changes: map[string][]string{
			fileRetries: {
				"(!cr.mayHaveRun || cr.route.Idempotent()) &&\n\t\tcr.sends",
				"cr.sends",
			},
		},
	},
}

// TestPlantedLeaks plants each leak in turn through the compiler's overlay; the source tree is not changed.
func TestPlantedLeaks(t *testing.T) {
	for _, one := range residencyLeaks {
		t.Run(strings.ReplaceAll(one.name, " ", "_"), one.plant)
	}
}

// plant builds the tests with the leak, and checks that they fail.
func (one plantedLeak) plant(t *testing.T) {
	c := qt.New(t)
	overlay := one.overlay(c, t.TempDir())
	cmd := exec.CommandContext(t.Context(), "go", "test", "-vet=off", "-p=2", "-count=1",
		"-overlay", overlay, "-run", one.testPattern(), one.testPackage())
	if one.testPackage() == "." {
		cmd.Args = append(cmd.Args, "-rapid.nofailfile", "-rapid.shrinktime=0s")
	}
	out, err := cmd.CombinedOutput()
	c.Assert(err, qt.IsNotNil, qt.Commentf("the planted leak was not detected:\n%s", out))
	built := !strings.Contains(string(out), "[build failed]")
	c.Assert(built, qt.Equals, one.detector != "compiler", qt.Commentf("%s", out))
	for line := range strings.Lines(string(out)) {
		tellsWhy := strings.Contains(line, "error:") ||
			strings.Contains(line, ".go:") && !built ||
			strings.Contains(line, "--- FAIL")
		if tellsWhy {
			t.Logf("detected: %s", strings.TrimSpace(line))
			break
		}
	}
}

// testPattern returns the pattern of the tests that have to detect the leak.
func (one plantedLeak) testPattern() string {
	if one.detector == "compiler" {
		return "^$"
	}
	return one.detector
}

// testPackage returns the package whose tests are run: that of the changed files if it has tests of its own for them.
func (one plantedLeak) testPackage() string {
	for file := range one.changes {
		switch dir := filepath.Dir(file); dir {
		case "../externalapi", "../operatorclient", "../distribution":
			return dir
		}
	}
	return "."
}

// overlay writes the changed files and the compiler's overlay file, and returns the path of that file.
func (one plantedLeak) overlay(c *qt.C, dir string) string {
	here, err := os.Getwd()
	c.Assert(err, qt.IsNil)
	overlay := struct{ Replace map[string]string }{map[string]string{}}
	for file, texts := range one.changes {
		b, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		src := string(b)
		for i := 0; i < len(texts); i += 2 {
			comment := qt.Commentf("source text not found exactly once, plant the leak anew: %s: %s", file, texts[i])
			c.Assert(strings.Count(src, texts[i]), qt.Equals, 1, comment)
			src = strings.Replace(src, texts[i], texts[i+1], 1)
		}
		planted := filepath.Join(dir, filepath.Base(file))
		c.Assert(os.WriteFile(planted, []byte(src), 0o600), qt.IsNil)
		overlay.Replace[filepath.Join(here, file)] = planted
	}
	b, err := json.Marshal(overlay)
	c.Assert(err, qt.IsNil)
	list := filepath.Join(dir, "overlay.json")
	c.Assert(os.WriteFile(list, b, 0o600), qt.IsNil)
	return list
}
