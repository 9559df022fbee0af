package codestyle

import (
	"go/ast"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// namingPages are the pages that name code, as `package.Name` or `package.Type.Member`.
var namingPages = []string{
	"docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "docs/operators/fleet-commands.md", "docs/operators/accounts.md",
}

// notCode has what else is written with a dot: tables of the settings file before it, kinds of files behind it.
var notCode = map[string]bool{
	"bind": true, "bnds": true, "provider": true, "survive": true,
	"db": true, "mod": true, "toml": true,
}

// pathName is a declaration outside of the fleet's packages, written with the folder of its package.
var pathName = regexp.MustCompile("`(internal/[a-z/]+)\\.([A-Za-z]\\w*(?:\\.[A-Za-z]\\w*)?)`")

var codeName = regexp.MustCompile("`([a-z]+)\\.([A-Za-z]\\w*)(?:\\.([A-Za-z]\\w*))?`")

// TestPagesNameWhatExists checks that what the pages name is declared, so that they can be relied on after a renaming.
func TestPagesNameWhatExists(t *testing.T) {
	declared := fleetDeclarations(t)
	for _, page := range namingPages {
		text, err := os.ReadFile(filepath.Join(moduleRoot, page))
		qt.Assert(t, err, qt.IsNil)
		names := codeName.FindAllStringSubmatch(string(text), -1)
		qt.Check(t, len(names) > 5, qt.IsTrue, qt.Commentf("%s names %d declarations", page, len(names)))
		for _, name := range names {
			if notCode[name[1]] || notCode[name[2]] {
				continue
			}
			if !declared.packages[name[1]] {
				t.Errorf("%s: `%s`: no package %s in internal/fleet, and not policy", page, name[0], name[1])
				continue
			}
			full := strings.Trim(name[0], "`")
			if !declared.names[full] {
				t.Errorf("%s: %s is not declared", page, full)
			}
		}
	}
}

// TestPagesNameDeclaredPaths checks the names that the pages give with the folder of their package.
func TestPagesNameDeclaredPaths(t *testing.T) {
	declared := map[string]bool{}
	for _, file := range moduleFiles(t) {
		folder := filepath.ToSlash(filepath.Dir(file.path))
		visitNames(file.syntax, func(owner string, name *ast.Ident) {
			full := folder + "." + name.Name
			if owner != "" {
				full = folder + "." + owner + "." + name.Name
			}
			declared[full] = true
		})
	}
	found := 0
	for _, page := range namingPages {
		text, err := os.ReadFile(filepath.Join(moduleRoot, page))
		qt.Assert(t, err, qt.IsNil)
		for _, name := range pathName.FindAllStringSubmatch(string(text), -1) {
			found++
			if full := name[1] + "." + name[2]; !declared[full] {
				t.Errorf("%s: %s is not declared", page, full)
			}
		}
	}
	qt.Check(t, found > 5, qt.IsTrue, qt.Commentf("%d names with their folder", found))
}

// declarations are packages by their name, and what they declare, as package.Name and package.Type.Member.
type declarations struct {
	packages map[string]bool
	names    map[string]bool
}

// fleetDeclarations returns what the fleet's packages and policy declare.
func fleetDeclarations(t *testing.T) declarations {
	d := declarations{packages: map[string]bool{}, names: map[string]bool{}}
	for _, file := range moduleFiles(t) {
		if !strings.HasPrefix(file.path, "internal/fleet/") && !strings.HasPrefix(file.path, "policy/") {
			continue
		}
		pkg := file.syntax.Name.Name
		d.packages[pkg] = true
		visitNames(file.syntax, func(owner string, name *ast.Ident) {
			full := pkg + "." + name.Name
			if owner != "" {
				full = pkg + "." + owner + "." + name.Name
			}
			d.names[full] = true
		})
	}
	return d
}
