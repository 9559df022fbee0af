package main

import (
	"flag"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/simulation"
)

var (
	quotaShare  = flag.Float64("quota.share", 0.4, "quota of processor time of each program, in parts of a core; 0: none")
	quotaLength = flag.Duration("quota.for", 4*time.Second, "how long TestProcessorQuota plays")
)

// TestProcessorQuota limits the processor time of every program under traffic and changes: a program is stopped for the
// rest of each tenth of a second once its quota is used up. No machine is declared lost, no backend is ejected, all
// changes are acknowledged and all requests are answered.
func TestProcessorQuota(t *testing.T) {
	f := newFleet(t, fleetOptions{noReport: true})
	quotas := map[string]*simulation.Quota{}
	for _, m := range append(slices.Clone(f.core), f.edge...) {
		for role, p := range m.programs {
			if *quotaShare > 0 {
				quotas[m.settings.Node+" "+role] = simulation.StartQuota(p, *quotaShare)
			}
		}
	}
	load := f.traffic([]int{0, 1})
	began := time.Now()
	var longest time.Duration
	version := f.version
	for time.Since(began) < *quotaLength {
		version++
		sent := time.Now()
		f.Assert(f.applyAddRoute(version).Status, qt.Equals, http.StatusOK)
		longest = max(longest, time.Since(sent))
	}
	load.awaitMore(32, 0, 1)
	load.stop()
	for name, q := range quotas {
		stats := q.Stop()
		t.Logf("%s: %+v", name, stats)
	}
	var first []time.Duration
	for _, client := range f.clients {
		for _, r := range client.Results() {
			if r.Kind == simulation.Stream && len(r.Events) > 0 {
				first = append(first, r.Events[0].At.Sub(r.SentAt))
			}
		}
	}
	slices.Sort(first)
	f.Assert(len(first) > 0, qt.IsTrue)
	t.Logf("share %.2f: %d changes, the longest wait %v; first token of %d streams: median %v, 99th %v", *quotaShare,
		version-1, longest, len(first), first[len(first)/2], first[len(first)*99/100])
	for _, m := range f.core {
		out := m.programs["control-plane"].Output()
		f.Check(strings.Count(out, `"msg":"view changed"`) <= 2, qt.IsTrue, qt.Commentf("an election:\n%s", out))
		f.Check(strings.Contains(out, "outlier ejections changed"), qt.IsFalse, qt.Commentf("an ejection:\n%s", out))
	}
	f.checkRules()
}
