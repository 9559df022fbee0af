package codestyle

import (
	"bufio"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
)

const (
	// moduleRoot is the root of the module, seen from this package.
	moduleRoot = "../.."
	// maxColumns bounds the width of a line, in columns with tabs of tabColumns.
	maxColumns = 120
	tabColumns = 4
	// maxFunctionLines bounds a function, from its signature to its closing brace.
	maxFunctionLines = 60
)

// sourceFile is a parsed file of the module that is neither a test nor generated.
type sourceFile struct {
	path   string // from the module's root, with slashes
	text   string
	fset   *token.FileSet
	syntax *ast.File
}

// TestComments checks that comments don't hold the phrases of testdata/phrases.txt, in the files that are neither tests
// nor in a folder of testdata/unworded.txt. A listed folder without such a phrase fails the test: the list can only
// become shorter.
func TestComments(t *testing.T) {
	rules := readRetired(t, "phrases.txt")
	unworded := map[string]bool{}
	for _, folder := range readLines(t, "unworded.txt") {
		unworded[folder] = true
	}
	clean := map[string]bool{}
	for folder := range unworded {
		clean[folder] = true
	}
	for _, file := range moduleFiles(t) {
		folder := filepath.ToSlash(filepath.Dir(file.path))
		for _, finding := range file.retiredPhrases(rules) {
			clean[folder] = false
			if !unworded[folder] {
				t.Error(finding)
			}
		}
	}
	for folder := range unworded {
		if clean[folder] {
			t.Errorf("%s has no retired phrase: take it off testdata/unworded.txt", folder)
		}
	}
}

func TestRetiredPhrases(t *testing.T) {
	rules := retiredNames{terms: map[string]string{"makes no sense": "name the value"}}
	for _, test := range []struct {
		name   string
		source string
		want   []string
	}{
		{"in a doc comment", "package p\n\n// f fails where x\n// makes no sense.\nfunc f() {}\n", []string{`p/f.go:3: "makes no sense" is retired, use name the value`}},
		{"in a string", "package p\n\nvar x = \"makes no sense\"\n", nil},
		{"as a part of words", "package p\n\n// It remakes no sensed value.\n", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			file, err := parse("p/f.go", test.source)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, file.retiredPhrases(rules), qt.DeepEquals, test.want)
		})
	}
}

// retiredPhrases returns the comments that hold a retired phrase, whatever its case and its line breaks.
func (f *sourceFile) retiredPhrases(rules retiredNames) []string {
	var findings []string
	for _, group := range f.syntax.Comments {
		text := " " + strings.Join(strings.FieldsFunc(strings.ToLower(group.Text()), func(r rune) bool {
			return r != '\'' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
		}), " ") + " "
		for phrase, term := range rules.terms {
			if strings.Contains(text, " "+phrase+" ") {
				findings = append(findings, f.at(group.Pos(), "%q is retired, use %s", phrase, term))
			}
		}
	}
	slices.Sort(findings)
	return findings
}

// TestReadable checks every file that is not listed as legacy, and that each listed one still needs its exemption.
func TestReadable(t *testing.T) {
	legacy := readLegacy(t)
	rules := readRetired(t, "retired.txt")
	for _, line := range readLines(t, "allowed.txt") {
		name, reason, ok := strings.Cut(line, " ")
		qt.Assert(t, ok && strings.TrimSpace(reason) != "", qt.IsTrue, qt.Commentf("allowed.txt: %q has no reason", line))
		rules.allowed[name] = true
	}
	seen := map[string]bool{}
	for _, file := range moduleFiles(t) {
		seen[file.path] = true
		findings := file.check(rules)
		switch {
		case !legacy[file.path]:
			for _, finding := range findings {
				t.Error(finding)
			}
		case len(findings) == 0:
			t.Errorf("%s keeps the rules: take it off testdata/legacy.txt", file.path)
		}
	}
	for path := range legacy {
		if !seen[path] {
			t.Errorf("%s is listed in testdata/legacy.txt and is not there", path)
		}
	}
}

func TestWordsOfAName(t *testing.T) {
	for name, want := range map[string][]string{
		"lastHeartbeat":   {"last", "heartbeat"},
		"KVCacheTokens":   {"kv", "cache", "tokens"},
		"toldCommitted":   {"told", "committed"},
		"HTTPServer":      {"http", "server"},
		"max_frame":       {"max", "frame"},
		"X":               {"x"},
		"residencyHeldMs": {"residency", "held", "ms"},
	} {
		qt.Check(t, nameWords(name), qt.DeepEquals, want, qt.Commentf("%s", name))
	}
}

func TestFindings(t *testing.T) {
	rules := retiredNames{terms: map[string]string{"told": "notified"}, allowed: map[string]bool{"p.toldApart": true}}
	for _, test := range []struct {
		name   string
		source string
		want   []string
	}{
		{"a retired word", "package p\n\nvar toldAll int\n", []string{"p/f.go:3: toldAll: told is retired, use notified"}},
		{"an allowed name", "package p\n\nvar toldApart int\n", nil},
		{"a field", "package p\n\ntype x struct {\n\ttold int\n}\n", []string{"p/f.go:4: x.told: told is retired, use notified"}},
		{"no doc comment", "package p\n\nfunc Exported() {}\n", []string{"p/f.go:3: Exported: exported without a doc comment"}},
		{"documented", "package p\n\n// Exported does nothing.\nfunc Exported() {}\n", nil},
		{"another's doc comment", "package p\n\n// someOther does nothing.\nfunc f() {}\n", []string{"p/f.go:4: f: its doc comment begins with someOther"}},
		{"a method of an unexported type", "package p\n\ntype x int\n\nfunc (x) Close() {}\n", nil},
		{"a wide line", "package p\n\n//\t" + strings.Repeat("-", 117) + "\n", []string{"p/f.go:3: 121 columns, at most 120"}},
		{"a long function", "package p\n\nfunc f() {\n" + strings.Repeat("\t_ = 0\n", 59) + "}\n", []string{"p/f.go:3: f: 61 lines, at most 60"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			file, err := parse("p/f.go", test.source)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, file.check(rules), qt.DeepEquals, test.want)
		})
	}
}

// check returns what breaks the rules, each with file and line.
func (f *sourceFile) check(rules retiredNames) []string {
	var findings []string
	findings = append(findings, f.wideLines()...)
	findings = append(findings, f.longFunctions()...)
	findings = append(findings, f.undocumented()...)
	findings = append(findings, f.misnamedDocs()...)
	findings = append(findings, f.retiredNames(rules)...)
	return findings
}

func (f *sourceFile) at(pos token.Pos, format string, args ...any) string {
	return fmt.Sprintf("%s:%d: ", f.path, f.fset.Position(pos).Line) + fmt.Sprintf(format, args...)
}

// structTag is a field with a tag at its end, which can't be broken.
var structTag = regexp.MustCompile("^\\t+\\w+.*`[a-z]+:\".*\"`$")

// wideLines returns lines over maxColumns, but for fields whose tag makes them so.
func (f *sourceFile) wideLines() []string {
	var findings []string
	number := 0
	for line := range strings.Lines(f.text) {
		number++
		line = strings.TrimSuffix(line, "\n")
		if columns := width(line); columns > maxColumns && !structTag.MatchString(line) {
			findings = append(findings, fmt.Sprintf("%s:%d: %d columns, at most %d", f.path, number, columns, maxColumns))
		}
	}
	return findings
}

// width counts columns; a tab goes on to the next multiple of tabColumns.
func width(line string) int {
	columns := 0
	for _, r := range line {
		if r == '\t' {
			columns += tabColumns - columns%tabColumns
			continue
		}
		columns++
	}
	return columns
}

func (f *sourceFile) longFunctions() []string {
	var findings []string
	for _, decl := range f.syntax.Decls {
		function, ok := decl.(*ast.FuncDecl)
		if !ok || function.Body == nil {
			continue
		}
		lines := f.fset.Position(function.End()).Line - f.fset.Position(function.Pos()).Line + 1
		if lines > maxFunctionLines {
			findings = append(findings, f.at(function.Pos(), "%s: %d lines, at most %d", function.Name.Name, lines, maxFunctionLines))
		}
	}
	return findings
}

// undocumented returns exported package-level declarations, and exported methods of exported types, without a doc comment.
func (f *sourceFile) undocumented() []string {
	var findings []string
	report := func(name *ast.Ident) {
		findings = append(findings, f.at(name.Pos(), "%s: exported without a doc comment", name.Name))
	}
	for _, decl := range f.syntax.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Name.IsExported() && d.Doc == nil && (d.Recv == nil || ast.IsExported(receiverType(d))) {
				report(d.Name)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				for _, name := range undocumentedNames(d, spec) {
					report(name)
				}
			}
		}
	}
	return findings
}

// undocumentedNames returns a specification's exported names, unless it, its group or the end of its line has a comment.
func undocumentedNames(group *ast.GenDecl, spec ast.Spec) []*ast.Ident {
	var names []*ast.Ident
	switch s := spec.(type) {
	case *ast.TypeSpec:
		if s.Doc == nil && group.Doc == nil && s.Comment == nil {
			names = append(names, s.Name)
		}
	case *ast.ValueSpec:
		if s.Doc == nil && group.Doc == nil && s.Comment == nil {
			names = append(names, s.Names...)
		}
	}
	return slices.DeleteFunc(names, func(name *ast.Ident) bool { return !name.IsExported() })
}

// misnamedDocs returns functions and methods whose doc comment begins with a mixed-case name that isn't theirs.
func (f *sourceFile) misnamedDocs() []string {
	var findings []string
	for _, decl := range f.syntax.Decls {
		function, ok := decl.(*ast.FuncDecl)
		if !ok || function.Doc == nil {
			continue
		}
		first, _, _ := strings.Cut(function.Doc.Text(), " ")
		if len(nameWords(first)) > 1 && token.IsIdentifier(first) && first != function.Name.Name {
			findings = append(findings, f.at(function.Pos(), "%s: its doc comment begins with %s", function.Name.Name, first))
		}
	}
	return findings
}

// receiverType returns the name of a method's type without pointer and type parameters.
func receiverType(method *ast.FuncDecl) string {
	expr := method.Recv.List[0].Type
	for {
		switch e := expr.(type) {
		case *ast.StarExpr:
			expr = e.X
		case *ast.IndexExpr:
			expr = e.X
		case *ast.IndexListExpr:
			expr = e.X
		case *ast.Ident:
			return e.Name
		default:
			return ""
		}
	}
}

// retiredNames returns declared names, but for local ones, that hold a retired word.
func (f *sourceFile) retiredNames(rules retiredNames) []string {
	var findings []string
	report := func(owner string, name *ast.Ident) {
		full := name.Name
		if owner != "" {
			full = owner + "." + full
		}
		if rules.allowed[filepath.ToSlash(filepath.Dir(f.path))+"."+full] {
			return
		}
		for _, word := range nameWords(name.Name) {
			if term, retired := rules.terms[word]; retired {
				findings = append(findings, f.at(name.Pos(), "%s: %s is retired, use %s", full, word, term))
			}
		}
	}
	visitNames(f.syntax, report)
	return findings
}

// visitNames calls visit for each name that a file declares, but for local ones; owner is the type that a field or
// method belongs to.
func visitNames(file *ast.File, visit func(owner string, name *ast.Ident)) {
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			owner := ""
			if d.Recv != nil {
				owner = receiverType(d)
			}
			visit(owner, d.Name)
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				visitSpec(spec, visit)
			}
		}
	}
}

// visitSpec calls visit for each name that a specification declares; owner is the type that a field or method belongs to.
func visitSpec(spec ast.Spec, visit func(owner string, name *ast.Ident)) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			visit("", name)
		}
	case *ast.TypeSpec:
		visit("", s.Name)
		ast.Inspect(s.Type, func(n ast.Node) bool {
			fields, ok := n.(*ast.FieldList)
			if !ok {
				return true
			}
			for _, field := range fields.List {
				for _, name := range field.Names {
					visit(s.Name.Name, name)
				}
			}
			return true
		})
	}
}

// nameWords splits a Go name where its case changes, in lower case: KVCacheTokens is kv, cache, tokens.
func nameWords(name string) []string {
	var words []string
	runes := []rune(name)
	start := 0
	flush := func(end int) {
		if end > start {
			words = append(words, strings.ToLower(string(runes[start:end])))
		}
		start = end
	}
	for i := 1; i < len(runes); i++ {
		switch {
		case runes[i] == '_':
			flush(i)
			start = i + 1
		case unicode.IsUpper(runes[i]) && !unicode.IsUpper(runes[i-1]):
			flush(i)
		case unicode.IsUpper(runes[i-1]) && unicode.IsLower(runes[i]) && i-1 > start:
			flush(i - 1)
		}
	}
	flush(len(runes))
	return words
}

// retiredNames says which words names don't hold any more.
type retiredNames struct {
	terms   map[string]string // by retired word: the standard term to use
	allowed map[string]bool   // names that hold such a word in its ordinary sense, as folder.Name or folder.Type.Field
}

// readRetired reads a file of testdata: on each line words in lower case, a tab or, after a single word, a space, and
// the term to use.
func readRetired(t *testing.T, name string) retiredNames {
	rules := retiredNames{terms: map[string]string{}, allowed: map[string]bool{}}
	for _, line := range readLines(t, name) {
		word, term, ok := strings.Cut(line, "\t")
		if !ok {
			word, term, ok = strings.Cut(line, " ")
		}
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s: %q has no term", name, line))
		rules.terms[word] = strings.TrimSpace(term)
	}
	return rules
}

func readLegacy(t *testing.T) map[string]bool {
	legacy := map[string]bool{}
	for _, line := range readLines(t, "legacy.txt") {
		legacy[line] = true
	}
	return legacy
}

// readLines reads a file of testdata without empty lines and comments, which begin with #.
func readLines(t *testing.T, name string) []string {
	file, err := os.Open(filepath.Join("testdata", name))
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	var lines []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	qt.Assert(t, scanner.Err(), qt.IsNil)
	return lines
}

// moduleFiles parses the module's files but for tests and generated ones.
func moduleFiles(t *testing.T) []*sourceFile {
	var files []*sourceFile
	for _, folder := range []string{"cmd", "internal", "policy"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && entry.Name() == "testdata" {
				return filepath.SkipDir
			}
			if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			relative, err := filepath.Rel(moduleRoot, path)
			if err != nil {
				return err
			}
			file, err := parse(filepath.ToSlash(relative), string(text))
			if err != nil {
				return err
			}
			if !ast.IsGenerated(file.syntax) {
				files = append(files, file)
			}
			return nil
		})
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	return files
}

func parse(path, text string) (*sourceFile, error) {
	if !utf8.ValidString(text) {
		return nil, fmt.Errorf("%s: not UTF-8", path)
	}
	fset := token.NewFileSet()
	syntax, err := parser.ParseFile(fset, path, text, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	return &sourceFile{path: path, text: text, fset: fset, syntax: syntax}, nil
}
