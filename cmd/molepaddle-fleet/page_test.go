package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var rewrite = flag.Bool("rewrite", false, "write the output of the commands into the pages that show it")

// pageFile documents the commands and the log; accountsPage documents how to change keys and quotas.
const (
	pageFile     = "../../docs/operators/fleet-commands.md"
	accountsPage = "../../docs/operators/accounts.md"
)

// Addresses in the page: the control plane's, and one where nothing listens.
const pageControl, pageDead = "10.1.0.16:8166", "10.2.0.32:8166"

// Addresses of the other core machines in the status.
var pageCore = []string{pageControl, "10.1.1.16:8166", "10.1.2.16:8166"}

// indent is the prefix of the lines of a transcript.
const indent = "    "

// blockEnd returns the end of the transcript that begins at a line: the first line that isn't indented. Blank lines
// within belong to the transcript.
func blockEnd(in []string, begin int) int {
	end := begin + 1
	for end < len(in) && !strings.HasPrefix(in[end], indent+"$ ") &&
		(strings.HasPrefix(in[end], indent) || in[end] == "" && end+1 < len(in) && strings.HasPrefix(in[end+1], indent) &&
			!strings.HasPrefix(in[end+1], indent+"$ ")) {
		end++
	}
	return end
}

// TestPageTranscripts runs the transcripts of the pages and compares the output.
func TestPageTranscripts(t *testing.T) {
	c := qt.New(t)
	t.Setenv("MOLEPADDLE_CONFIG", "")
	t.Chdir("testdata")
	played := runTranscripts(c, "../"+pageFile)
	for _, name := range []string{"check", "show", "diff", "propose", "update", "route", "status", "watch",
		"residency", "demo", "version"} {
		c.Check(played[name], qt.IsTrue, qt.Commentf("no transcript of molepaddle-fleet %s", name))
	}
	played = runTranscripts(c, "../"+accountsPage)
	for _, name := range []string{"show", "diff", "update", "watch"} {
		c.Check(played[name], qt.IsTrue, qt.Commentf("%s: no transcript of molepaddle-fleet %s", accountsPage, name))
	}
}

// runTranscripts runs the transcripts of a page, blocks that begin with "    $ molepaddle-fleet", in their order
// against one control plane that has no configuration at first. It must be called in testdata, where the files are. It
// returns the commands that were run.
func runTranscripts(c *qt.C, page string) map[string]bool {
	text, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	s := newFakeControlPlane(c)
	there := strings.NewReplacer(pageControl, s.addr, pageDead, unusedAddr(c))
	dead := there.Replace(pageDead)
	back := strings.NewReplacer(s.addr, pageControl, dead, pageDead)
	var out []string
	played := map[string]bool{}
	in := strings.Split(string(text), "\n")
	for i := 0; i < len(in); {
		line, ok := strings.CutPrefix(in[i], indent+"$ molepaddle-fleet ")
		if !ok {
			out = append(out, in[i])
			i++
			continue
		}
		end := blockEnd(in, i)
		if line == "demo" { // run by TestDemo
			out = append(out, in[i:end]...)
			played[line], i = true, end
			continue
		}
		command, echo := strings.CutSuffix(line, "; echo $?")
		args := strings.Fields(there.Replace(command))
		played[args[0]] = true
		var b bytes.Buffer
		code := run(context.Background(), args, &b, &b, build)
		if echo {
			fmt.Fprintln(&b, code)
		} else {
			c.Check(code, qt.Equals, exitOK, qt.Commentf("molepaddle-fleet %s", command))
		}
		got := []string{in[i]}
		for l := range strings.Lines(back.Replace(b.String())) {
			if l = strings.TrimSuffix(l, "\n"); l != "" {
				l = indent + l
			}
			got = append(got, l)
		}
		if !*rewrite {
			c.Check(strings.Join(in[i:end], "\n"), qt.Equals, strings.Join(got, "\n"))
		}
		out = append(out, got...)
		i = end
	}
	if *rewrite {
		c.Assert(os.WriteFile(page, []byte(strings.Join(out, "\n")), 0o644), qt.IsNil)
	}
	return played
}

// logCall is a call in the source that writes a log line.
type logCall struct{ level, msg, where string }

// logCalls returns the log calls in the programs' source, and the keys of their fields.
func logCalls(c *qt.C) (calls []logCall, keys map[string]string) {
	keys = map[string]string{}
	var files []string
	for _, p := range []string{"proxy", "nodeagent", "controlplane"} {
		found, err := filepath.Glob("../../internal/fleet/" + p + "/*.go")
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.Not(qt.HasLen), 0)
		files = append(files, found...)
	}
	own, err := filepath.Glob("*.go")
	c.Assert(err, qt.IsNil)
	files = append(files, own...)
	levels := []string{"Debug", "Info", "Warn", "Error", "DPanic", "Panic", "Fatal"}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, name, nil, 0)
		c.Assert(err, qt.IsNil)
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			sel, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			where := set.Position(call.Pos()).String()
			switch {
			case slices.Contains(levels, sel.Sel.Name) && isLog(sel.X):
				msg, ok := literal(call.Args[0])
				c.Check(ok, qt.IsTrue, qt.Commentf("%s: the message is no literal", where))
				calls = append(calls, logCall{strings.ToLower(sel.Sel.Name), msg, where})
			case isName(sel.X, "zap") && sel.Sel.Name != "NewStdLog" && sel.Sel.Name != "Error":
				if key, ok := literal(call.Args[0]); ok {
					keys[key] = where
				}
			}
			return true
		})
	}
	return calls, keys
}

func isName(e ast.Expr, name string) bool {
	id, ok := e.(*ast.Ident)
	return ok && id.Name == name
}

// isLog reports whether an expression is a logger: log, x.log, or log.With(...) of one.
func isLog(e ast.Expr) bool {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name == "log"
	case *ast.SelectorExpr:
		return e.Sel.Name == "log"
	case *ast.CallExpr:
		sel, ok := e.Fun.(*ast.SelectorExpr)
		return ok && isLog(sel.X)
	}
	return false
}

// literal returns the text of a string literal, or of the literal with which a concatenation begins.
func literal(e ast.Expr) (string, bool) {
	if sum, ok := e.(*ast.BinaryExpr); ok {
		e = sum.X
	}
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(lit.Value)
	return s, err == nil
}

var logRow = regexp.MustCompile("(?m)^\\| (debug|info|warn|error|dpanic|panic|fatal) \\| `([^`]+)` \\|")

// TestPageListsLogLines asserts that each log line of the programs has a row in the page, and each row a log line.
func TestPageListsLogLines(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile(pageFile)
	c.Assert(err, qt.IsNil)
	rows := map[[2]string]bool{}
	for _, m := range logRow.FindAllStringSubmatch(string(text), -1) {
		rows[[2]string{m[1], m[2]}] = true
	}
	calls, keys := logCalls(c)
	c.Assert(calls, qt.Not(qt.HasLen), 0)
	for _, call := range calls {
		c.Check(rows[[2]string{call.level, call.msg}], qt.IsTrue,
			qt.Commentf("%s: the page has no row | %s | `%s` |", call.where, call.level, call.msg))
	}
	for row := range rows {
		c.Check(slices.ContainsFunc(calls, func(l logCall) bool { return l.level == row[0] && l.msg == row[1] }), qt.IsTrue,
			qt.Commentf("no program logs | %s | `%s` | any more", row[0], row[1]))
	}
	for key, where := range keys {
		c.Check(strings.Contains(string(text), "`"+key), qt.IsTrue,
			qt.Commentf("%s: the page doesn't tell the field `%s`", where, key))
	}
}
