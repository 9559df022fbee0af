package main

import (
	"bytes"
	"context"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	demoTimes  = regexp.MustCompile(`\b(\d+h)?(\d+m)?[\d.]+(ms|s)\b`)
	demoDigits = regexp.MustCompile(`\d+`)
	demoRoles  = regexp.MustCompile(`\b(primary|backup|witness)$`)
	demoSpaces = regexp.MustCompile(` +`)
)

// shape normalizes the demo's output, so that it is equal in all runs: times, addresses, numbers, roles, column widths
// and the number of progress lines of `watch` may differ.
func shape(text string) (all []string) {
	for l := range strings.Lines(text) {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "version ") && strings.Contains(l, ": in force at ") {
			if strings.Contains(l, "; ") {
				continue
			}
		}
		l = demoTimes.ReplaceAllString(l, "T")
		l = demoDigits.ReplaceAllString(l, "N")
		l = demoRoles.ReplaceAllString(l, "ROLE")
		all = append(all, demoSpaces.ReplaceAllString(l, " "))
	}
	return all
}

// TestDemo runs the demo and compares its output with the expected lines and with the transcript in the page.
func TestDemo(t *testing.T) {
	c := qt.New(t)
	t.Setenv("MOLEPADDLE_CONFIG", "")
	ctx, cancel := context.WithTimeout(context.Background(), 2*demoTimeout)
	defer cancel()
	var out, errOut bytes.Buffer
	code := run(ctx, []string{"demo"}, &out, &errOut, build)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s\n%s", out.String(), errOut.String()))
	said := out.String()
	for _, want := range []string{
		`read at prefill-\d: 20000 tokens in \S+, 0 were kept from before`,
		`made at decode-\d: 12 tokens, on the memory of 20000 taken over`,
		`read at prefill-\d: 5000 tokens in \S+, 15000 were kept from before`,
		`GET /news-2/ before: 404 at edge-1, 404 at edge-2`,
		`version 2: in force at 2 of 2 agents\n`,
		`GET /news-2/ after: 200 at edge-1, 200 at edge-2`,
		`core-\d, which led view \d+, is killed\n +core-\d leads view \d+ \S+ later; the configuration there is version 2\n`,
		`version 3: in force at 2 of 2 agents\n`,
		`requests meanwhile: [1-9]\d* served, 0 not`,
		`edge-2 +shinagawa-hall +3 +\S+ +\S+ +\S+ ago +-\n`,
	} {
		c.Check(regexp.MustCompile(want).MatchString(said), qt.IsTrue, qt.Commentf("no %q in\n%s", want, said))
	}
	leaders := regexp.MustCompile(`(core-\d)(, which led| leads) view (\d+)`).FindAllStringSubmatch(said, -1)
	c.Assert(leaders, qt.HasLen, 2)
	c.Check(leaders[0][1], qt.Not(qt.Equals), leaders[1][1])
	c.Check(leaders[0][3], qt.Not(qt.Equals), leaders[1][3])

	text, err := os.ReadFile(pageFile)
	c.Assert(err, qt.IsNil)
	in := strings.Split(string(text), "\n")
	begin := slices.Index(in, indent+"$ molepaddle-fleet demo")
	c.Assert(begin >= 0, qt.IsTrue, qt.Commentf("no transcript of molepaddle-fleet demo"))
	end := blockEnd(in, begin)
	if *rewrite {
		var block []string
		for _, l := range strings.Split(strings.TrimSuffix(said, "\n"), "\n") {
			if l != "" {
				l = indent + l
			}
			block = append(block, l)
		}
		c.Assert(os.WriteFile(pageFile, []byte(strings.Join(slices.Replace(in, begin+1, end, block...), "\n")), 0o644),
			qt.IsNil)
		return
	}
	c.Check(shape(strings.Join(in[begin+1:end], "\n")), qt.DeepEquals, shape(said))
}
