package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/routingconfig"
)

// secretMark is in each API key of TestAPIKeysAreShownNowhere, and in nothing else.
const secretMark = "zq7Secret"

// secretKey is an API key.
func secretKey(name string) string { return secretMark + "-" + name }

// keyTest is a fleet with accounts, and the output of all commands that were run against it.
type keyTest struct {
	*fleet
	dir     string
	printed strings.Builder
}

// withKeys returns a configuration with accounts and a public route.
func (p *keyTest) withKeys(version uint64, accounts ...object) object {
	doc := p.configuration(version)
	doc["routing"].(list)[1].(object)["public"] = true
	var all list
	for _, a := range accounts {
		all = append(all, a)
	}
	doc["accounts"] = all
	return doc
}

// file writes an input file for a command and returns its path.
func (p *keyTest) file(name string, content any) string {
	b, isBytes := content.([]byte)
	if !isBytes {
		var err error
		b, err = json.Marshal(content)
		p.Assert(err, qt.IsNil)
	}
	path := filepath.Join(p.dir, name)
	p.Assert(os.WriteFile(path, b, 0o600), qt.IsNil)
	return path
}

// run runs a command, asserts its exit code and records its output.
func (p *keyTest) run(code int, args ...string) {
	p.Helper()
	if slices.Contains([]string{"diff", "propose", "update", "status", "show", "watch", "residency"}, args[0]) {
		args = append(args, "--control", strings.Join(p.operator.Ctl, ","))
	}
	got, out, errOut := fleetctl(p, args...)
	p.Check(got, qt.Equals, code, qt.Commentf("%v: %s%s", args, out, errOut))
	fmt.Fprintf(&p.printed, "%v\n%s%s\n", args, out, errOut)
}

// runBoth runs a command with and without --json.
func (p *keyTest) runBoth(code int, args ...string) {
	p.Helper()
	p.run(code, args...)
	p.run(code, append(args, "--json")...)
}

// request sends a lookup with an Authorization field to each proxy and asserts the status of the answer.
func (p *keyTest) request(status int, authorization ...string) {
	p.Helper()
	r := lookup()
	r.Header = http.Header{"Authorization": authorization}
	for i, client := range p.clients {
		got := client.Do(p.ctx, r)
		p.Check(got.Status, qt.Equals, status, qt.Commentf("edge %d, %v: %s", i+1, authorization, got.AnswerBody))
		p.Check(string(got.AnswerBody), qt.Not(qt.Contains), secretMark)
	}
}

// awaitKey waits until both proxies accept a key.
func (p *keyTest) awaitKey(key string) {
	r := lookup()
	r.Header = http.Header{"Authorization": {"Bearer " + key}}
	for i, client := range p.clients {
		p.eventually(testTimeout, fmt.Sprintf("a key at edge %d", i+1), func() bool {
			return client.Do(p.ctx, r).Status == http.StatusOK
		})
	}
}

// TestAPIKeysAreNotDisclosed runs a fleet whose programs log at the lowest level, has keys added and revoked, sent in
// valid and invalid form, and passes valid and invalid files with keys to every command. No output and no log contains
// a key or a part of one, except `show --json`, which prints the operator's document unchanged.
func TestAPIKeysAreNotDisclosed(t *testing.T) {
	debug := []string{"--log-level=debug"}
	p := &keyTest{
		fleet: newFleet(t, fleetOptions{
			bounds: map[string]any{"strict_revoke": true, "revoke_ms": 5000},
			flags:  map[string][]string{"proxy": debug, "node-agent": debug, "control-plane": debug},
		}),
		dir: t.TempDir(),
	}
	one := object{"name": "one", "apikeys": list{secretKey("a"), secretKey("b")}, "prio": 1}
	two := object{"name": "two", "apikeys": list{secretKey("c")}, "rate_s": 0.2, "burst": 1}
	valid := p.file("valid.json", p.withKeys(2, one, two))
	p.runBoth(exitOK, "check", valid)
	p.runBoth(exitOK, "diff", valid)
	p.runBoth(exitOK, "propose", valid)
	p.run(exitOK, "watch", "2")
	p.awaitKey(secretKey("a"))
	p.runBoth(exitOK, "diff", valid)
	p.run(exitOK, "show")
	p.Check(p.printed.String(), qt.Contains, routingconfig.HashKey(secretKey("c")).String())
	p.Check(p.printed.String(), qt.Matches, `(?s).*\none +2 +1 +- +-\ntwo +1 +- +0\.2/s +1\n.*`)
	p.playRequests()
	p.playInvalidFiles(one, two)

	change := p.file("change.json", object{"ver": 3, "upsert": object{"accounts": list{
		object{"name": "one", "apikeys": list{secretKey("b"), secretKey("d")}},
	}}, "remove": object{"accounts": list{"two"}}})
	p.runBoth(exitOK, "diff", change)
	p.runBoth(exitFailure, "check", change) // an update is not a complete configuration
	p.run(exitOK, "update", change)
	p.runBoth(exitOK, "watch", "3")
	p.awaitKey(secretKey("d"))
	p.request(http.StatusUnauthorized, "Bearer "+secretKey("a"))
	p.runBoth(exitVersionConflict, "propose", valid, "--base", "2")
	p.runBoth(exitOK, "status")
	p.run(exitOK, "status", "--local")
	p.runBoth(exitOK, "residency")
	p.run(exitOK, "route", host, "/lookup/", "--file", valid)

	_, shown, _ := fleetctl(p, "show", "--json", "--control", p.operator.Ctl[0])
	p.Check(shown, qt.Contains, secretKey("d"), qt.Commentf("show --json is the operator's own document"))
	p.Check(p.printed.String(), qt.Not(qt.Contains), secretMark)
	p.checkRules()
	p.terminateSome()
	for _, program := range p.programs {
		out := program.Output()
		p.Check(out, qt.Contains, `"msg":"started"`)
		p.Check(out, qt.Not(qt.Contains), secretMark)
	}
}

// playRequests sends requests with known keys, unknown keys and no keys.
func (p *keyTest) playRequests() {
	p.request(http.StatusOK, "bearer  "+secretKey("b"))
	for _, wrong := range [][]string{
		nil,
		{"Bearer " + secretKey("unknown")},
		{"Bearer " + secretKey("a") + " " + secretKey("a")},
		{"Basic " + secretKey("a")},
		{secretKey("a")},
		{"Bearer " + secretKey("a"), "Bearer " + secretKey("b")},
		{"Bearer " + secretKey(strings.Repeat("x", 8<<10))},
	} {
		p.request(http.StatusUnauthorized, wrong...)
	}
	statuses := map[int]int{}
	r := lookup()
	r.Header = http.Header{"Authorization": {"Bearer " + secretKey("c")}}
	const beyondQuota = 100 // of 0.2 x 5 s + 1, and what bnds allow beside that
	for range beyondQuota {
		statuses[p.clients[0].Do(p.ctx, r).Status]++
	}
	p.Check(statuses[http.StatusTooManyRequests] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
	p.Check(statuses[http.StatusOK] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
}

// playInvalidFiles passes files that are not valid configurations to the commands.
func (p *keyTest) playInvalidFiles(one, two object) {
	whole, err := json.Marshal(p.withKeys(9, one, two))
	p.Assert(err, qt.IsNil)
	cut := strings.Index(string(whole), secretMark) + len(secretMark) + 1
	shared := object{"name": "three", "apikeys": list{secretKey("a")}}
	for name, content := range map[string]any{
		"shared.json":  p.withKeys(9, one, two, shared),
		"cut.json":     whole[:cut],
		"control.json": slices.Replace(slices.Clone(whole), cut, cut+1, '\n'),
		"names.json": []byte(`{"ver":9,"routing":[],"svcs":[],"accounts":[{"name":"one","apikeys":{"` +
			secretKey("a") + `":1,"` + secretKey("a") + `":2}}]}`),
		"text.json":   p.withKeys(9, object{"name": "one", "apikeys": secretKey("a")}),
		"object.json": p.withKeys(9, object{"name": "one", "apikeys": list{object{"key": secretKey("a")}}}),
		"old.json":    p.withKeys(1, one, two),
	} {
		file := p.file(name, content)
		if name != "old.json" {
			p.runBoth(exitFailure, "check", file)
			p.run(exitFailure, "route", host, "/lookup/", "--file", file)
		}
		p.runBoth(exitFailure, "diff", file)
		p.runBoth(exitFailure, "propose", file)
	}
	settingsFile := p.file("keys.toml", []byte(`"accounts": [{"apikeys": ["`+secretKey("a")+`"]}]`))
	p.runBoth(exitFailure, "check", settingsFile)
	p.run(exitFailure, "proxy", "--settings", settingsFile)
}

// terminateSome ends the edge machines' programs and a control server with SIGTERM, so that they write their log lines
// of a shutdown.
func (p *keyTest) terminateSome() {
	for _, m := range append(slices.Clone(p.edge), p.core[0]) {
		for _, program := range m.programs {
			p.expectExit(program)
			program.Signal(syscall.SIGTERM)
		}
		for role, program := range m.programs {
			_, err := program.Wait(p.withTimeout(10 * time.Second))
			p.Check(err, qt.IsNil, qt.Commentf("%s %s", m.settings.Node, role))
		}
	}
}
