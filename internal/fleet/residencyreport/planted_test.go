package residencyreport

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// fault is planted in a copy of the sources: each old text once, replaced. The tests that are named have to find it.
type fault struct {
	name string
	dir  string // of the tests
	by   string
	file string
	old  string
	new  string
}

const (
	readings = "^TestGaugeIsOrderFree$"
	ways     = "^TestRelay"
)

var faults = []fault{
	{"what is taken counts again", ".", readings, "gauge.go", "if b.N <= taken {", "if b.N < taken {"},
	{"a reading counts again after a restart", ".", readings, "gauge.go", "Processes: g.progresses(), ", ""},
	{"the latest first time", ".", readings, "gauge.go", "min(e.First, o.First)", "max(e.First, o.First)"},
	{"the earliest last time", ".", readings, "gauge.go", "max(e.Last, o.Last)", "min(e.Last, o.Last)"},
	{"one kind of sends is left out", ".", readings, "gauge.go", "c.Resumes += o.Resumes", ""},
	{"a gauge is changed in place", ".", readings, "gauge.go", "maps.Clone(g.pairs)", "g.pairs"},
	{"routes count as tenants do", ".", readings, "gauge.go", "put(pairs, e, MaxPairs)", "e.Pair.Tenant += e.Pair.Route\n\t\t\te.Pair.Route = \"\"\n\t\t\tput(pairs, e, MaxPairs)"},
	{"a forgotten process counts again", ".", "^TestForgotten", "gauge.go", "lost[b.Process] = taken == 0 && b.N > 1", "lost[b.Process] = false"},
	{"nobody is forgotten", ".", "^TestGaugeIsBounded$", "gauge.go", "next.forget(MaxProcesses)", ""},
	{"what there is no room for is dropped", ".", "^TestGaugeIsBounded$", "gauge.go", "e.Pair = Pair{}\n", "return\n"},
	{"the first is let go before it is kept", ".", ways, "relay.go", "r.Keep(Kept{b.Process, b.N - 1})", "r.Keep(Kept{b.Process, b.N})"},
	{"a batch is let go with the one before", ".", ways, "relay.go", "held[n].N <= k.N", "held[n].N <= k.N+1"},
	{"a gap is taken", ".", ways, "relay.go", "b.N != last+1 || n >= MaxOpen", "n >= MaxOpen"},
	{"a refused batch is passed by", ".", ways, "relay.go", "if at.refused > 0 && b.N > at.refused {", "if false {"},
	{"what was lost on the way is not sent again", ".", ways, "relay.go", "if s.sent == nil || now.Sub(s.since) >= againAfter {", "if s.sent == nil {"},
	{"a batch counts from the start each time", "../proxy", "^TestLedger", "../proxy/ledger.go", "d[i] -= r.given[i]", "d[i] -= 0 * r.given[i]"},
	{"what found no room is not told any more", "../proxy", "^TestLedger", "../proxy/ledger.go", "l.changed, l.fresh = more, more", "l.changed, l.fresh = more && false, false"},
	{"the report is not in the record's snapshot", "../controlplane", "^TestRecord", "../controlplane/record.go", "s := Stored{Rested: r.rested.Snapshot()}", "s := Stored{}"},
	{"a reading counts as a configuration", "../controlplane", "^TestRecord", "../controlplane/record.go", "s.DocumentSeq = r.docSeq", ""},
	{"what was not confirmed is let go", "../controlplane", "^TestReadings", "../controlplane/rested.go", "b.N <= settled.rested.Kept(b.Process) {\n\t\t\tkept", "b.N > 0 {\n\t\t\tkept"},
}

// TestPlantedFaults plants each fault in turn, by the compiler's overlay: nothing in the tree is changed.
func TestPlantedFaults(t *testing.T) {
	for _, one := range faults {
		t.Run(strings.ReplaceAll(one.name, " ", "_"), func(t *testing.T) {
			c := qt.New(t)
			dir := t.TempDir()
			b, err := os.ReadFile(one.file)
			c.Assert(err, qt.IsNil)
			c.Assert(strings.Count(string(b), one.old), qt.Equals, 1, qt.Commentf("the fault is to be planted anew: %s: %s", one.file, one.old))
			planted := filepath.Join(dir, filepath.Base(one.file))
			c.Assert(os.WriteFile(planted, []byte(strings.Replace(string(b), one.old, one.new, 1)), 0o600), qt.IsNil)
			at, err := filepath.Abs(one.file)
			c.Assert(err, qt.IsNil)
			b, err = json.Marshal(map[string]map[string]string{"Replace": {at: planted}})
			c.Assert(err, qt.IsNil)
			list := filepath.Join(dir, "overlay.json")
			c.Assert(os.WriteFile(list, b, 0o600), qt.IsNil)
			args := []string{"test", "-vet=off", "-p=2", "-count=1", "-overlay", list, "-run", one.by, "."}
			if one.dir == "." {
				args = append(args, "-rapid.nofailfile", "-rapid.shrinktime=0s", "-rapid.checks=1000")
			}
			cmd := exec.CommandContext(t.Context(), "go", args...)
			cmd.Dir = one.dir
			out, err := cmd.CombinedOutput()
			c.Assert(err, qt.IsNotNil, qt.Commentf("it was not found:\n%s", out))
			c.Assert(strings.Contains(string(out), "[build failed]"), qt.IsFalse, qt.Commentf("%s", out))
			for line := range strings.Lines(string(out)) {
				if strings.Contains(line, "--- FAIL") {
					t.Logf("found: %s", strings.TrimSpace(line))
					break
				}
			}
		})
	}
}
