package controlplane

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// recordFault is a deliberate bug: a text of a source file replaced by another.
type recordFault struct {
	name string
	file string
	old  string
	new  string
}

// finders are the tests that have to find each fault.
var finders = flag.String("controlplane.finders", "^Test(Verdicts|SentAgain|Remembered|OlderBuilds|Damaged|LostTail|VerdictWaits|Histories)",
	"the tests that have to find each planted fault")

var recordFaults = []recordFault{
	{"few changes are remembered", "idempotency.go", "maxRemembered = rememberedBytes / rememberedChangeBytes", "maxRemembered = 64"},
	{"more is remembered than the bound allows", "idempotency.go", "rememberedChangeBytes = 9 + 9", "rememberedChangeBytes = 9"},
	{"what is forgotten is refused", "idempotency.go", "\tif c.Base < base {\n\t\treturn forgotten", "\tif c.Base < base {\n\t\treturn otherChange"},
	{"whatever was built on a base counts as the same", "idempotency.go", "same := a.digests[following] == c.digest()", "same := true"},
	{"the operation is no part of a call", "idempotency.go", "\tif c.Replace {\n", "\tif false {\n"},
	{"the oldest base is one too new", "idempotency.go", "a.oldestBase = a.versions[excess-1]", "a.oldestBase = a.versions[excess]"},
	{"the oldest base stays what it was", "idempotency.go", "\ta.oldestBase = a.versions[excess-1]\n", ""},
	{"the oldest base is not in the snapshot", "idempotency.go", "oldest != unknownBase", "oldest == unknownBase"},
	{"an older build's oldest change counts as the first of all", "idempotency.go", "a = acceptedChanges{oldestBase: unknownBase,", "a = acceptedChanges{oldestBase: 0,"},
	{"an older build that remembered nothing counts as one that accepted nothing", "idempotency.go", "\t\ta.oldestBase = version\n", "\t\ta.oldestBase = 0\n"},
	{"the remembered changes are not in the snapshot", "record.go", "\tr.accepted.store(&s)\n", ""},
	{"the remembered changes are not read", "record.go", "r.accepted, err = restoreAccepted(&s, r.doc.Version())", "_, err = restoreAccepted(&s, r.doc.Version())"},
	{"a restore leaves the remembered changes as they are", "record.go", "\t*r = next\n", "\tnext.accepted = r.accepted\n\t*r = next\n"},
	{"a restore that fails leaves half of a record", "record.go", "\t\t\treturn errors.Wrap(err, \"record\")\n\t\t}\n\t\tnext.recent", "\t\t\t*r = next\n\t\t\treturn errors.Wrap(err, \"record\")\n\t\t}\n\t\tnext.recent"},
	{"a base that is not reached is refused", "verdict.go", "return &verdict{seq: r.seq, status: http.StatusServiceUnavailable,\n\t\t\treason: fmt.Sprintf(\"version %d is in place; version", "return &verdict{seq: r.seq, status: http.StatusPreconditionFailed,\n\t\t\treason: fmt.Sprintf(\"version %d is in place; version"},
	{"validity goes before what was accepted", "verdict.go", "\tswitch r.accepted.lookup(c) {\n", "\tif _, found := c.change(r.doc, checks...); found.Err() != nil {\n\t\treturn &verdict{seq: r.seq, status: http.StatusBadRequest, found: found}\n\t}\n\tswitch r.accepted.lookup(c) {\n"},
	{"a verdict is told before what it is about is committed", "verdict.go", " && a.Seq >= v.seq", ""},
	{"a change that was lost in a takeover is acknowledged", "verdict.go", "a.Result == replication.Committed", "(a.Result == replication.Committed || a.Result == replication.LostPrimacy)"},
	{"a verdict is told before it was confirmed", "verdict.go", "case v != nil && v.holds(a):", "case v != nil:"},
	{"what was accepted is proposed again", "verdict.go", "\tcase sameChange:\n\t\treturn &verdict{seq: r.seq, status: http.StatusOK}\n", "\tcase sameChange:\n"},
	{"only the newest changes are acknowledged again", "verdict.go", "\tcase sameChange:\n\t\treturn &verdict{seq: r.seq, status: http.StatusOK}\n", "\tcase sameChange:\n\t\tif r.accepted.versions[len(r.accepted.versions)-1] > c.Base+2 {\n\t\t\treturn &verdict{seq: r.seq, status: http.StatusPreconditionFailed}\n\t\t}\n\t\treturn &verdict{seq: r.seq, status: http.StatusOK}\n"},
	{"a verdict is told by one that leads no more", "verdict.go", "a.Result == replication.Confirmed && ", ""},
}

// TestPlantedRecordFaults builds the tests with each fault by the compiler's overlay, which changes nothing in the tree, and they fail.
func TestPlantedRecordFaults(t *testing.T) {
	for _, f := range recordFaults {
		t.Run(strings.ReplaceAll(f.name, " ", "_"), func(t *testing.T) {
			bin := f.build(t)
			out, err := exec.CommandContext(t.Context(), bin, "-test.run", *finders, "-test.timeout", "2m", "-test.failfast",
				"-rapid.nofailfile", "-rapid.shrinktime=0s").CombinedOutput()
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("not found"))
			for line := range strings.Lines(string(out)) {
				if strings.HasPrefix(line, "--- FAIL") || strings.HasPrefix(line, "panic:") {
					t.Logf("found: %s", strings.TrimSpace(line))
				}
			}
		})
	}
}

// build makes the package's tests with the fault.
func (f *recordFault) build(t *testing.T) (binary string) {
	c := qt.New(t)
	source, err := os.ReadFile(f.file)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(string(source), f.old), qt.Equals, 1, qt.Commentf("to be planted anew: %q", f.old))
	dir := t.TempDir()
	planted := filepath.Join(dir, f.file)
	c.Assert(os.WriteFile(planted, []byte(strings.Replace(string(source), f.old, f.new, 1)), 0o600), qt.IsNil)
	original, err := filepath.Abs(f.file)
	c.Assert(err, qt.IsNil)
	list, err := json.Marshal(map[string]map[string]string{"Replace": {original: planted}})
	c.Assert(err, qt.IsNil)
	overlay, binary := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "controlplane.test")
	c.Assert(os.WriteFile(overlay, list, 0o600), qt.IsNil)
	out, err := exec.CommandContext(t.Context(), "go", "test", "-vet=off", "-p=2", "-c", "-overlay", overlay, "-o", binary, ".").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}
