// Package mutant plants faults in a package's sources for its tests: each has to be found by the tests that are named for it. Nothing
// in the tree is changed: the compiler is given the changed file by an overlay.
package mutant

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Mutant is a planted fault.
type Mutant struct {
	Name  string
	File  string   // relative to the test's folder
	Texts []string // old, new, old, new, ...; each old text stands in the file exactly once
	Dir   string   // of the tests that have to find it, relative to the test's folder
	Run   string   // the pattern of their names
}

// Test plants the fault and fails unless the tests find it. It gives args to go test besides.
func (m *Mutant) Test(t *testing.T, args ...string) {
	c := qt.New(t)
	list := m.overlay(c)
	cmd := exec.CommandContext(t.Context(), "go", append([]string{"test", "-vet=off", "-p=2", "-count=1", "-overlay", list, "-run", m.Run, "."}, args...)...)
	cmd.Dir = m.Dir
	out, err := cmd.CombinedOutput()
	c.Assert(err, qt.IsNotNil, qt.Commentf("it was not found:\n%s", out))
	c.Assert(strings.Contains(string(out), "[build failed]"), qt.IsFalse, qt.Commentf("%s", out))
	for line := range strings.Lines(string(out)) {
		if strings.Contains(line, "--- FAIL") {
			t.Logf("found: %s", strings.TrimSpace(line))
			return
		}
	}
}

// overlay writes the changed file and the compiler's list of it, and gives that list's name.
func (m *Mutant) overlay(c *qt.C) string {
	b, err := os.ReadFile(m.File)
	c.Assert(err, qt.IsNil)
	source := string(b)
	for i := 0; i < len(m.Texts); i += 2 {
		c.Assert(strings.Count(source, m.Texts[i]), qt.Equals, 1, qt.Commentf("the fault is to be planted anew: %s: %s", m.File, m.Texts[i]))
		source = strings.Replace(source, m.Texts[i], m.Texts[i+1], 1)
	}
	dir := c.TempDir()
	changed := filepath.Join(dir, filepath.Base(m.File))
	c.Assert(os.WriteFile(changed, []byte(source), 0o600), qt.IsNil)
	at, err := filepath.Abs(m.File)
	c.Assert(err, qt.IsNil)
	b, err = json.Marshal(map[string]map[string]string{"Replace": {at: changed}})
	c.Assert(err, qt.IsNil)
	list := filepath.Join(dir, "overlay.json")
	c.Assert(os.WriteFile(list, b, 0o600), qt.IsNil)
	return list
}
