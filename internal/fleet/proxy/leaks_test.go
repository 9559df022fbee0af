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

// leak is a fault planted in a copy of the sources: each old text once, replaced. The compiler or the tests of enclosed requests,
// most of them by the auditor (simulation.Judge's Leaks), have to find it.
type leak struct {
	name    string
	by      string              // what finds it: "compiler", or the tests that are run
	changes map[string][]string // by file: old, new, old, new ...
}

const (
	choice = "^TestPlacementInside$"
	whole  = "^TestEnclosed"
	days   = "^TestDrawnDays$"
)

// noCheck takes the check at the send away, so that only the choice is left.
var noCheck = []string{"if p.endpoint == nil || p.releaseOnly || !p.endpoint.Allowed(t) {", "if p.endpoint == nil || p.releaseOnly {"}

// noGate takes the check of the chosen place away as well.
var noGate = []string{"if !e.Allowed(t) {\n\t\treturn Permit{}, ErrOutside\n\t}\n", ""}

// takers has who takes memory chosen without terms.
var takers = []string{"from *backend) *backend {\n\te := s.engines\n\tif at := s.dueTrial(req, externalapi.PhaseDecode, outlier.Risk{Idempotent: req.retryable}); at != nil {\n\t\treturn at\n\t}\n\tkey := req.prompt.PromptKey()\n\ts.ranked = s.ranker.Rank(req.now, key, func(id string) bool { return s.eligible(req, id, externalapi.PhaseDecode) }",
	"from *backend) *backend {\n\te := s.engines\n\tif at := s.dueTrial(req, externalapi.PhaseDecode, outlier.Risk{Idempotent: req.retryable}); at != nil {\n\t\treturn at\n\t}\n\tkey := req.prompt.PromptKey()\n\ts.ranked = s.ranker.Rank(req.now, key, func(id string) bool { return !req.tried[id] && s.byID[id].Phase == externalapi.PhaseDecode }"}

const (
	fileEnclosure = "../residency/residency.go"
	fileEnclosed  = "enclosed.go"
	fileExchange  = "exchange.go"
	fileErrors    = "errors.go"
	fileOutbound  = "outboundrequest.go"
	filePlain     = "plain.go"
	fileRetries   = "retries.go"
	fileService   = "service.go"
	filePlace     = "place.go"
	fileGenerate  = "generation.go"
	filePrefill   = "prefill.go"
	fileResume    = "resume.go"
	fileFeed      = "feed.go"
)

var leaks = []leak{
	// Types that can't be confused.
	{"a send without a permit", "compiler", map[string][]string{filePrefill: {"cr.startExchange(ctx, a.permit, &cr.outbound, &opts, cr.connectDeadline(), deadline)", "cr.startExchange(ctx, a.backend, &cr.outbound, &opts, cr.connectDeadline(), deadline)"}}},
	{"a permit made by hand", "compiler", map[string][]string{filePlace: {"pl.decodePermit, err = pl.decode.endpoint.Permit(terms)", "pl.decodePermit, err = (residency.Permit{endpoint: pl.decode.endpoint}), error(nil)"}}},
	{"a connection past the permit", "compiler", map[string][]string{fileEnclosed: {"return permit.AcquireConn(ctx, cr.terms(), out.id)", "return cr.svc.byID[permit.ID()].endpoint.conns.Lend(ctx, out.id)"}}},
	{"a connection from the pool", "compiler", map[string][]string{fileEnclosed: {"return permit.AcquireConn(ctx, cr.terms(), out.id)", "return cr.proxy.pool.Way(permit.Address()).Lend(ctx, out.id)"}}},
	{"a handle without a permit", "compiler", map[string][]string{filePrefill: {"\t\tpermit: a.permit,\n\t\ttokens:", "\t\tpermit: a.backend,\n\t\ttokens:"}}},
	// The choice alone: the send would refuse, so that requests are lost.
	{"plain requests are chosen anywhere", choice, map[string][]string{fileService: {"return !tried[id] && (!restricted || s.withinTerms(id, terms)) }", "return !tried[id] || restricted && tried[id] && false }"}}},
	{"prompts are placed anywhere", choice, map[string][]string{filePlace: {"return split && reads(id) || s.eligible(req, id, externalapi.PhaseDecode)", "return !req.tried[id] && (split && s.byID[id].Phase == externalapi.PhasePrefill || s.byID[id].Phase == externalapi.PhaseDecode)"}}},
	{"memory is taken anywhere", choice, map[string][]string{filePlace: takers}},
	// The terms.
	{"an unknown region is allowed", choice, map[string][]string{fileEnclosure: {`return region != "" && slices.Contains(t.regions, region)`, `return region == "" || slices.Contains(t.regions, region)`}}},
	{"nothing in common is anywhere", "^TestTermsOf$", map[string][]string{fileEnclosure: {"return Terms{restricted: true, regions: both}", "return Terms{restricted: len(both) > 0, regions: both}"}}},
	{"a tenant's routes carry no terms", whole + "Calm", map[string][]string{fileEnclosed: {"one.terms = base", "_ = base"}}},
	{"terms are those of the route when the request came", whole + "Withdrawn", map[string][]string{fileEnclosed: {"if snapshot := cr.proxy.snapshot.Load(); snapshot != cr.snapshot {", "if snapshot := cr.proxy.snapshot.Load(); false {"}, fileResume: {"cr.tried, false, cr.terms())", "cr.tried, false, cr.subject.arrivalTerms)"}}},
	{"sends under way are not cut", whole + "Withdrawn", map[string][]string{fileFeed: {"p.residency.cancelWithdrawn(snapshot)", ""}}},
	{"streams that got terms go on", whole + "TermsAppear", map[string][]string{fileEnclosed: {"if terms := cr.terms(); terms.Restricted() && e.permit.Check(terms) != nil {", "if terms := cr.terms(); terms.Restricted() && false {"}}},
	{"the source of a handle is not watched", whole + "HandleWithdrawn", map[string][]string{fileEnclosed: {"send.permits = append(send.permits, opts.handle.permit)", ""}}},
	{"a handle outside is not freed", whole + "HandleWithdrawn", map[string][]string{fileEnclosed: {"return permit.AcquireReleaseConn(ctx, out.id)", "return permit.AcquireConn(ctx, cr.terms(), out.id)"}}},
	{"a corrected zone is not taken over", whole + "Relisted", map[string][]string{fileService: {"old.endpoint.SetZone(b.Zone)", ""}}},
	// Both checks gone: what then rests outside, the auditor sees.
	{"no check at all", whole + "Calm", map[string][]string{fileEnclosure: append(append([]string{}, noCheck...), noGate...), fileService: {"return s.byID[id].endpoint.Allowed(terms)", "return true"}}},
	{"spills over when nothing is left inside", whole + "Crowd$", map[string][]string{fileEnclosure: append(append([]string{}, noCheck...), noGate...), fileService: {
		"if len(s.ranked) == 0 {\n\t\t\treturn permit, false\n\t\t}\n\t\tid = s.ranked[0]", "if len(s.ranked) == 0 {\n\t\t\ts.ranked = s.ranker.Rank(s.now(), key, func(id string) bool { return !tried[id] }, capFactor, nil, s.ranked[:0])\n\t\t}\n\t\tif len(s.ranked) == 0 {\n\t\t\treturn permit, false\n\t\t}\n\t\tid = s.ranked[0]"}}},
	{"retries go anywhere", whole + "Storm$/^[a-z_]+$", map[string][]string{fileEnclosure: noCheck, filePlain: {"cr.svc.selectPlain(key, cr.retryable(), cr.tried, cr.terms())", "cr.svc.selectPlain(key, cr.retryable(), cr.tried, map[bool]residency.Terms{true: cr.terms()}[len(cr.tried) == 0])"}}},
	{"streams are resumed anywhere", whole + "Resumes$", map[string][]string{fileEnclosure: noCheck, fileResume: {"cr.tried, false, cr.terms())", "cr.tried, false, residency.Terms{})", `"molepaddle/internal/fleet/scheduler"`, "\"molepaddle/internal/fleet/residency\"\n\t\"molepaddle/internal/fleet/scheduler\""}}},
	{"takers stand anywhere", whole + "Takers$", map[string][]string{fileEnclosure: append(append([]string{}, noCheck...), noGate...), filePlace: takers}},
	{"the send looks at other terms", whole + "Withdrawn", map[string][]string{fileEnclosed: {"return permit.AcquireConn(ctx, cr.terms(), out.id)", "return permit.AcquireConn(ctx, residency.Terms{}, out.id)", "if err := p.Check(terms); err != nil {", "_ = terms\n\t\tif err := p.Check(cr.subject.arrivalTerms); err != nil {"},
		fileGenerate: {"cr.svc.selectPlacement(cr.route.Name, cr.retryable(), g.prompt, target, cr.tried, g.split, terms)", "cr.svc.selectPlacement(cr.route.Name, cr.retryable(), g.prompt, target, cr.tried, g.split, cr.subject.arrivalTerms)"}, fileResume: {"cr.tried, false, cr.terms())", "cr.tried, false, cr.subject.arrivalTerms)"}}},
	// And what the drawn days find, most of them by what is lost where it need not be.
	{"plain requests are chosen anywhere, on drawn days", days, map[string][]string{fileService: {"return !tried[id] && (!restricted || s.withinTerms(id, terms)) }", "return !tried[id] || restricted && tried[id] && false }"}}},
	{"sends under way are not cut, on drawn days", days, map[string][]string{fileFeed: {"p.residency.cancelWithdrawn(snapshot)", ""}}},
	{"nothing is checked, on drawn days", days, map[string][]string{fileEnclosure: append(append([]string{}, noCheck...), noGate...), fileService: {"return s.byID[id].endpoint.Allowed(terms)", "return true"}}},
	{"retries go anywhere, on drawn days", days, map[string][]string{fileEnclosure: noCheck, filePlain: {"cr.svc.selectPlain(key, cr.retryable(), cr.tried, cr.terms())", "cr.svc.selectPlain(key, cr.retryable(), cr.tried, map[bool]residency.Terms{true: cr.terms()}[len(cr.tried) == 0])"}}},
	{"streams are resumed anywhere, on drawn days", days, map[string][]string{fileEnclosure: noCheck, fileResume: {"cr.tried, false, cr.terms())", "cr.tried, false, residency.Terms{})", `"molepaddle/internal/fleet/scheduler"`, "\"molepaddle/internal/fleet/residency\"\n\t\"molepaddle/internal/fleet/scheduler\""}}},
	{"a corrected zone is not taken over, on drawn days", days, map[string][]string{fileService: {"old.endpoint.SetZone(b.Zone)", ""}}},
	{"an address is taken for the backend that had it", days, map[string][]string{fileOutbound: {"b = appendField(b, externalapi.HeaderTargetBackend, o.target)", "_ = o.target"}}},
	{"what may have run is refused", days, map[string][]string{fileErrors: {"case cr.mayHaveRun:\n\t\treturn &rejection{status: http.StatusBadGateway, reason: reason}", "case cr.mayHaveRun:\n\t\treturn &rejection{status: http.StatusServiceUnavailable, retryAfter: minRetryAfter, reason: reason}"}}},
	{"what may have run is sent again", days, map[string][]string{fileRetries: {"(!cr.mayHaveRun || cr.route.Idempotent()) &&\n\t\tcr.sends", "cr.sends"}}},
}

// TestPlantedLeaks plants each leak in turn, by the compiler's overlay: nothing in the tree is changed.
func TestPlantedLeaks(t *testing.T) {
	for _, one := range leaks {
		t.Run(strings.ReplaceAll(one.name, " ", "_"), one.plant)
	}
}

// plant builds the tests with the leak in, and has them fail.
func (one leak) plant(t *testing.T) {
	c := qt.New(t)
	cmd := exec.CommandContext(t.Context(), "go", "test", "-vet=off", "-p=2", "-count=1", "-overlay", one.overlay(c, t.TempDir()), "-run", one.tests(), one.in())
	if one.in() == "." {
		cmd.Args = append(cmd.Args, "-rapid.nofailfile", "-rapid.shrinktime=0s")
	}
	out, err := cmd.CombinedOutput()
	c.Assert(err, qt.IsNotNil, qt.Commentf("it was not found:\n%s", out))
	built := !strings.Contains(string(out), "[build failed]")
	c.Assert(built, qt.Equals, one.by != "compiler", qt.Commentf("%s", out))
	for line := range strings.Lines(string(out)) {
		if strings.Contains(line, "error:") || strings.Contains(line, ".go:") && !built || strings.Contains(line, "--- FAIL") {
			t.Logf("found: %s", strings.TrimSpace(line))
			break
		}
	}
}

// tests is the pattern of the tests that have to find the leak.
func (one leak) tests() string {
	if one.by == "compiler" {
		return "^$"
	}
	return one.by
}

// in is the package whose tests are run: that of the changed files where they are in another one's tests' care.
func (one leak) in() string {
	for file := range one.changes {
		switch dir := filepath.Dir(file); dir {
		case "../externalapi", "../operatorclient", "../distribution":
			return dir
		}
	}
	return "."
}

// overlay writes the changed files and the compiler's list of them, and gives that list's name.
func (one leak) overlay(c *qt.C, dir string) string {
	here, err := os.Getwd()
	c.Assert(err, qt.IsNil)
	overlay := struct{ Replace map[string]string }{map[string]string{}}
	for file, texts := range one.changes {
		b, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		src := string(b)
		for i := 0; i < len(texts); i += 2 {
			c.Assert(strings.Count(src, texts[i]), qt.Equals, 1, qt.Commentf("the leak is to be planted anew: %s: %s", file, texts[i]))
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
