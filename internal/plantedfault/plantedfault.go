// Package plantedfault checks that tests find deliberate errors. Each error is laid into a copy of the sources by the
// compiler's overlay, so that nothing in the tree changes, and the tests that are named must fail then.
package plantedfault

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// Fault is a deliberate error.
type Fault struct {
	Name  string
	Texts []string // old, new, old, new ...: each old text is there exactly once in the package's sources
	Tests string   // which tests must find it, as for go test -run
	Dir   string   // of the package with the sources and the tests; empty: the one whose test runs
	// SourceDir is the directory of the package with the sources, where its tests aren't those that must find the
	// fault.
	SourceDir string
	Args      []string // to go test besides
}

// Fit checks that the texts of each fault are in the sources, and runs nothing.
func Fit(t *testing.T, faults []Fault) {
	for _, f := range faults {
		t.Run(strings.ReplaceAll(f.Name, " ", "_"), func(t *testing.T) {
			if _, err := f.lay(t.TempDir()); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Find lays each fault in turn and has the tests that it names fail.
func Find(t *testing.T, faults []Fault) {
	for _, f := range faults {
		t.Run(strings.ReplaceAll(f.Name, " ", "_"), func(t *testing.T) {
			overlay, err := f.lay(t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			args := []string{
				"test", "-vet=off", "-p=2", "-count=1", "-timeout=3m", "-overlay", overlay, "-run", f.Tests, ".",
			}
			cmd := exec.CommandContext(t.Context(), "go", append(args, f.Args...)...)
			cmd.Dir = f.Dir
			out, err := cmd.CombinedOutput()
			switch {
			case strings.Contains(string(out), "[build failed]"):
				t.Fatalf("it doesn't compile:\n%s", out)
			case strings.Contains(string(out), "no tests to run"):
				t.Fatalf("no test is named %s", f.Tests)
			case err == nil:
				t.Fatalf("it was not found by %s", f.Tests)
			}
			t.Logf("found: %s", firstFailure(string(out)))
		})
	}
}

// firstFailure is the first line that tells of a failed test.
func firstFailure(out string) string {
	for line := range strings.Lines(out) {
		if strings.Contains(line, "--- FAIL") || strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "no line tells"
}

// lay writes the changed sources and the overlay that names them into dir.
func (f *Fault) lay(dir string) (overlay string, err error) {
	dirOfSources := f.Dir
	if f.SourceDir != "" {
		dirOfSources = f.SourceDir
	}
	texts, err := sources(dirOfSources)
	if err != nil {
		return "", err
	}
	replaced := map[string]string{}
	for pair := range slices.Chunk(f.Texts, 2) {
		file, err := only(texts, pair[0])
		if err != nil {
			return "", err
		}
		texts[file] = strings.Replace(texts[file], pair[0], pair[1], 1)
		replaced[file] = filepath.Join(dir, filepath.Base(file))
	}
	for file, laid := range replaced {
		if err := os.WriteFile(laid, []byte(texts[file]), 0o600); err != nil {
			return "", errors.Wrap(err, "write")
		}
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": replaced})
	if err != nil {
		return "", errors.Wrap(err, "encode the overlay")
	}
	overlay = filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, list, 0o600)
}

// sources are the files of the package in a folder that are neither tests nor generated, by absolute path.
func sources(dir string) (map[string]string, error) {
	at, err := filepath.Abs(dir)
	if err != nil {
		return nil, errors.Wrap(err, "working directory")
	}
	files, err := filepath.Glob(filepath.Join(at, "*.go"))
	if err != nil {
		return nil, errors.Wrap(err, "list")
	}
	texts := map[string]string{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") || strings.HasSuffix(file, "_gen.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read")
		}
		texts[file] = string(text)
	}
	return texts, nil
}

// only is the one file that has the text, once.
func only(texts map[string]string, text string) (file string, err error) {
	count := 0
	for name, source := range texts {
		if n := strings.Count(source, text); n > 0 {
			count, file = count+n, name
		}
	}
	if count != 1 {
		return "", errors.Errorf("to be planted anew: %q is there %d times, not once", text, count)
	}
	return file, nil
}
