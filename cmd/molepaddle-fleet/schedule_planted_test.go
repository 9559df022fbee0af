package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	schedulePlanted = flag.Bool("schedules.planted", false,
		"plant each fault in the programs in turn and play the schedules, which takes minutes")
	schedulePlantedCount = flag.Int("schedules.planted-count", 24, "how many schedules are played with each fault")
)

// plantedFault is a bug that is inserted into a copy of a package's sources by replacing texts, each of which must
// occur exactly once.
type plantedFault struct {
	name      string
	pkgs      string   // packages below internal/fleet, separated by commas
	texts     []string // old, new, old, new ...
	whyMissed string   // reason why the schedules don't detect it; "" if they do
}

var plantedFaults = []plantedFault{
	{"a configuration is shown without a confirmed read", "controlplane", []string{
		"ans, err := s.confirmView(ctx)\n\tif err != nil || ans.Result != replication.Confirmed {\n\t\treturn nil, 0, unavailable(\"the view is not confirmed\")",
		"ans, err := replication.Answer{Result: replication.Confirmed}, ctx.Err()\n\tif err != nil || ans.Result != replication.Confirmed {\n\t\treturn nil, 0, unavailable(\"the view is not confirmed\")"}, ""},
	{"the second of two changes on one base is taken", "controlplane", []string{
		"return sameChange\n\t}\n\treturn otherChange", "return sameChange\n\t}\n\treturn notBuiltOn"}, ""},
	{"a restart forgets which changes were accepted, and refuses them", "controlplane", []string{
		"a = acceptedChanges{oldestBase: unknownBase, versions: s.Versions, digests: s.Digests}", "a, s = acceptedChanges{oldestBase: version}, &StoredState{OldestBase: &version}",
		"case forgotten:\n\t\treturn cs.verdict(http.StatusServiceUnavailable", "case forgotten:\n\t\treturn cs.verdict(http.StatusPreconditionFailed"}, ""},
	{"a change is acknowledged whatever became of it", "controlplane", []string{
		"case v == nil && a.Result == replication.Committed:", "case v == nil:"}, ""},
	{"what is sent and answered isn't on the disk first", "controlplane", []string{
		"err := s.storage.Save(w)", "err := error(nil)\n\t\tgo func() { _ = s.storage.Save(w) }()"}, ""},
	{"a source that is behind sends its configuration, which is taken", "distribution", []string{
		"if e := c.entries[resourceType]; e != nil && !e.version.Before(next.version) {",
		"if e := c.entries[resourceType]; e != nil && e.version == next.version {",
		"case had.Before(e.version):", "case had != e.version:"},
		"a proxy takes no older version, whoever offers it"},
	{"a source that is behind sends its configuration, which a proxy takes too", "distribution,proxy", []string{
		"if e := c.entries[resourceType]; e != nil && !e.version.Before(next.version) {",
		"if e := c.entries[resourceType]; e != nil && e.version == next.version {",
		"case had.Before(e.version):", "case had != e.version:",
		"if doc.Version() > p.doc.Version() {", "if doc.Version() != p.doc.Version() {"}, ""},
	{"a node agent stays with a source that has lost the primary", "nodeagent", []string{
		"\tif contactAge < s.maxContactAge {", "\tif contactAge < time.Hour {"}, ""},
	{"a machine without its disk votes as who it was", "replication", []string{
		`ID(fmt.Sprintf("%016x%016x", m.opt.Rand(), m.opt.Rand()))`, `ID(fmt.Sprint("of ", m.opt.Self.Addr))`},
		"it needs a vote before and after the loss in one epoch, which replication's search brings about"},
}

// plant builds the test binary with a fault, by the compiler's overlay, and returns its path. If build is false, it
// only checks that the texts match, and returns "". The source tree isn't changed.
func (f *plantedFault) plant(c *qt.C, dir string, build bool) string {
	here, err := filepath.Abs(filepath.Join("..", "..", "internal", "fleet"))
	c.Assert(err, qt.IsNil)
	var files []string
	for pkg := range strings.SplitSeq(f.pkgs, ",") {
		some, err := filepath.Glob(filepath.Join(here, pkg, "*.go"))
		c.Assert(err, qt.IsNil)
		files = append(files, some...)
	}
	overlay := struct{ Replace map[string]string }{map[string]string{}}
	placed := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		b, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		src := string(b)
		for i := 0; i < len(f.texts); i += 2 {
			if n := strings.Count(src, f.texts[i]); n > 0 {
				c.Assert(n, qt.Equals, 1, qt.Commentf("%s stands more than once: %q", f.name, f.texts[i]))
				src = strings.Replace(src, f.texts[i], f.texts[i+1], 1)
				placed++
			}
		}
		if src == string(b) {
			continue
		}
		laid := filepath.Join(dir, filepath.Base(file))
		c.Assert(os.WriteFile(laid, []byte(src), 0o600), qt.IsNil)
		overlay.Replace[file] = laid
	}
	c.Assert(placed, qt.Equals, len(f.texts)/2, qt.Commentf("to be planted anew: %s", f.name))
	if !build {
		return ""
	}
	b, err := json.Marshal(overlay)
	c.Assert(err, qt.IsNil)
	list, bin := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "planted.test")
	c.Assert(os.WriteFile(list, b, 0o600), qt.IsNil)
	out, err := exec.CommandContext(c.Context(), "go", "test", "-vet=off", "-p=2", "-c", "-overlay", list, "-o", bin,
		".").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s: %s", f.name, out))
	return bin
}

// TestPlantedInPrograms asserts that the faults still match the sources. With -schedules.planted it builds the programs
// with each fault, and the schedules must detect it unless whyMissed is set.
func TestPlantedInPrograms(t *testing.T) {
	for _, f := range plantedFaults {
		t.Run(strings.ReplaceAll(f.name, " ", "_"), func(t *testing.T) {
			c := qt.New(t)
			bin := f.plant(c, t.TempDir(), *schedulePlanted)
			if !*schedulePlanted {
				return
			}
			out, err := exec.CommandContext(t.Context(), bin, "-test.run", "^Test(Directed)?Schedules$", "-test.timeout",
				"10m", "-test.v",
				fmt.Sprint("-schedules=", *schedulePlantedCount), fmt.Sprint("-schedules.first=", *scheduleFirst)).CombinedOutput()
			found, seeds := "", 0
			for line := range strings.Lines(string(out)) {
				if strings.Contains(line, "breach: ") && found == "" {
					found = strings.TrimSpace(line)
				}
				if strings.Contains(line, "    --- FAIL: Test") && !strings.HasSuffix(strings.Fields(line)[2], "/seeds") {
					seeds++
				}
			}
			t.Logf("%d of %d schedules broke a rule; the first: %s", seeds, *schedulePlantedCount+len(directedSchedules), found)
			c.Check(err != nil && found != "", qt.Equals, f.whyMissed == "", qt.Commentf("%s", f.whyMissed))
		})
	}
}
