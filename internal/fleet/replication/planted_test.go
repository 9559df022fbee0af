package replication

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var planted = flag.String(
	"replication.planted", "",
	"run these kinds of tests against each planted fault, which takes minutes: search,hand,storms,histories",
)

// plantedFault is a deliberate error that is planted in a copy of the sources (mutation testing): each old text, which
// must occur exactly once in the package, is replaced.
type plantedFault struct {
	name    string
	texts   []string // old, new, old, new ...
	foundBy string   // the kinds of tests that find it, separated by commas
	missed  string   // why no test finds it, if foundBy is empty
}

// testKind is a kind of tests that may find a planted fault: those whose names match run and not skip.
type testKind struct{ name, run, skip string }

// testKinds are the kinds of tests, run with CI's settings. Kind hand is the tests with hand-written cases.
var testKinds = []testKind{
	{"search", "^TestSearch", ""},
	{"hand", "", "^Test(Search|Storm$|Histories$|HastyVerdicts$|PlantedFaults$)"},
	{"storms", "^TestStorm$", ""},
	{"histories", "^TestHistories$", ""},
}

// sources returns the texts of the package's files that are neither tests nor generated, by name.
func sources(c *qt.C) map[string]string {
	files, err := filepath.Glob("*.go")
	c.Assert(err, qt.IsNil)
	texts := map[string]string{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") || strings.HasSuffix(file, "_gen.go") {
			continue
		}
		text, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		texts[file] = string(text)
	}
	return texts
}

// plant replaces the fault's texts and returns the files that change, by name. Each text must occur exactly once in all
// sources together.
func (f *plantedFault) plant(texts map[string]string) (map[string]string, error) {
	changed := map[string]string{}
	for pair := range slices.Chunk(f.texts, 2) {
		count, in := 0, ""
		for file, text := range texts {
			if now, ok := changed[file]; ok {
				text = now
			}
			if n := strings.Count(text, pair[0]); n > 0 {
				count, in = count+n, file
			}
		}
		if count != 1 {
			return nil, fmt.Errorf("to be planted anew: %q is there %d times, not once", pair[0], count)
		}
		text, ok := changed[in]
		if !ok {
			text = texts[in]
		}
		changed[in] = strings.Replace(text, pair[0], pair[1], 1)
	}
	return changed, nil
}

// build builds the test binary with some files replaced by the compiler's overlay; the tree is not changed.
func build(c *qt.C, changed map[string]string) string {
	here, err := os.Getwd()
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	replace := map[string]string{}
	for file, text := range changed {
		plantedFile := filepath.Join(dir, file)
		c.Assert(os.WriteFile(plantedFile, []byte(text), 0o600), qt.IsNil)
		replace[filepath.Join(here, file)] = plantedFile
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": replace})
	c.Assert(err, qt.IsNil)
	overlay, binary := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "replication.test")
	c.Assert(os.WriteFile(overlay, list, 0o600), qt.IsNil)
	out, err := exec.CommandContext(
		c.Context(), "go", "test", "-vet=off", "-p=2", "-c", "-overlay", overlay, "-o", binary, ".",
	).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// finds reports whether a test of this kind fails, and its first failure message. The run is ended at the first state
// that violates a rule of the search.
func (k *testKind) finds(c *qt.C, binary string) (found bool, reason string) {
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	run := exec.CommandContext(ctx, binary, "-test.v", "-test.run", k.run, "-test.skip", k.skip, "-test.timeout", "5m")
	out, err := run.StdoutPipe()
	c.Assert(err, qt.IsNil)
	run.Stderr = run.Stdout
	c.Assert(run.Start(), qt.IsNil)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		switch {
		case strings.Contains(line, ruleBroken):
			cancel()
			fallthrough
		case reason == "" && (strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "--- FAIL")):
			reason = line
		}
	}
	if run.Wait() == nil {
		return false, "not found"
	}
	return true, reason
}

// TestPlantedFaults checks that the planted faults fit the sources. With -replication.planted each is planted, and the
// kinds of tests that it names must fail.
func TestPlantedFaults(t *testing.T) {
	texts := sources(qt.New(t))
	for _, f := range slices.Concat(plantedFaults, membershipFaults) {
		t.Run(strings.ReplaceAll(f.name, " ", "_"), func(t *testing.T) {
			c := qt.New(t)
			changed, err := f.plant(texts)
			c.Assert(err, qt.IsNil)
			c.Assert(
				(f.foundBy == "") != (f.missed == ""), qt.IsTrue,
				qt.Commentf("either found by some tests or missed for a reason"),
			)
			if *planted == "" {
				return
			}
			binary := build(c, changed)
			for _, kind := range testKinds {
				if !slices.Contains(strings.Split(*planted, ","), kind.name) {
					continue
				}
				found, reason := kind.finds(c, binary)
				t.Logf("%s: %v: %s", kind.name, found, reason)
				if slices.Contains(strings.Split(f.foundBy, ","), kind.name) {
					c.Check(found, qt.IsTrue, qt.Commentf("by %s", kind.name))
				}
			}
		})
	}
}

// TestPlantedFaultsFitOnce checks that a fault whose text occurs twice, or not at all, is rejected.
func TestPlantedFaultsFitOnce(t *testing.T) {
	c := qt.New(t)
	texts := map[string]string{"a.go": "one two", "b.go": "two three three"}
	f := plantedFault{texts: []string{"one", "1", "1 two", "1 2"}}
	changed, err := f.plant(texts)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.DeepEquals, map[string]string{"a.go": "1 2"})
	for _, text := range []string{"two", "three", "four"} {
		f = plantedFault{texts: []string{text, ""}}
		_, err = f.plant(texts)
		c.Check(err, qt.ErrorMatches, "to be planted anew: .*")
	}
}
