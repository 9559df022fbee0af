// Package plantedfault checks that tests detect deliberate faults (mutation testing). It compiles each fault with
// go's -overlay flag, so that the source tree stays unchanged, and requires the named tests to fail.
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

// Fault is a deliberate change of the sources that tests must detect.
type Fault struct {
	Name  string
	Texts []string // old, new, old, new ...: each old text occurs exactly once in the package's sources
	Tests string   // the tests that must detect it, as a pattern for go test -run
	Dir   string   // directory of the package; empty: the current directory
	// SourceDir is the directory of the changed sources, if it differs from the directory of the tests; empty: Dir.
	SourceDir string
	Args      []string // additional arguments of go test
}

// Fit checks that the texts of each fault match the sources, without running the tests.
func Fit(t *testing.T, faults []Fault) {
	for _, f := range faults {
		t.Run(strings.ReplaceAll(f.Name, " ", "_"), func(t *testing.T) {
			if _, err := f.writeOverlay(t.TempDir()); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Find runs the tests of each fault with the fault planted, and reports an error if they pass.
func Find(t *testing.T, faults []Fault) {
	for _, f := range faults {
		t.Run(strings.ReplaceAll(f.Name, " ", "_"), func(t *testing.T) {
			overlay, err := f.writeOverlay(t.TempDir())
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
				t.Fatalf("the planted fault doesn't compile:\n%s", out)
			case strings.Contains(string(out), "no tests to run"):
				t.Fatalf("no test matches %s", f.Tests)
			case err == nil:
				t.Fatalf("the planted fault was not detected by %s", f.Tests)
			}
			t.Logf("detected: %s", firstFailure(string(out)))
		})
	}
}

// firstFailure returns the first line of the output that reports a failed test or a panic.
func firstFailure(out string) string {
	for line := range strings.Lines(out) {
		if strings.Contains(line, "--- FAIL") || strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "no line reports a failed test"
}

// writeOverlay writes the changed sources and an overlay that refers to them into dir. It returns the overlay's path.
func (f *Fault) writeOverlay(dir string) (overlay string, err error) {
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
		file, err := uniqueFile(texts, pair[0])
		if err != nil {
			return "", err
		}
		texts[file] = strings.Replace(texts[file], pair[0], pair[1], 1)
		replaced[file] = filepath.Join(dir, filepath.Base(file))
	}
	for file, changed := range replaced {
		if err := os.WriteFile(changed, []byte(texts[file]), 0o600); err != nil {
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

// sources returns the files of the package in a directory by absolute path, without tests and generated files.
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

// uniqueFile returns the file that contains the text. The text must occur exactly once in all files.
func uniqueFile(texts map[string]string, text string) (file string, err error) {
	count := 0
	for name, source := range texts {
		if n := strings.Count(source, text); n > 0 {
			count, file = count+n, name
		}
	}
	if count != 1 {
		return "", errors.Errorf("to be planted anew: %q occurs %d times in the sources, want once", text, count)
	}
	return file, nil
}
