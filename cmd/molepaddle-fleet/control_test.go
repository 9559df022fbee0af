package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/rig/testkit"
)

// fakeControlPlane is a fake control server that accepts configurations as PROTOCOL.md specifies.
type fakeControlPlane struct {
	addr string

	mu          sync.Mutex
	doc         *routingconfig.Document
	previous    *routingconfig.Document // the configuration before the one in force
	calls       []string                // method, path and base version of each call
	statusCalls int                     // status calls since the last change
}

// newFakeControlPlane starts a fakeControlPlane, which is stopped at the end of the test.
func newFakeControlPlane(tb testing.TB) *fakeControlPlane {
	s := &fakeControlPlane{}
	server := httptest.NewServer(s)
	tb.Cleanup(server.Close)
	s.addr = server.Listener.Addr().String()
	return s
}

func (s *fakeControlPlane) recordedCalls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

func (s *fakeControlPlane) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, strings.TrimSpace(r.Method+" "+r.URL.Path+" "+r.Header.Get(externalapi.HeaderBaseVersion)))
	change := routingconfig.Replace
	switch r.Method + " " + r.URL.Path {
	case externalapi.CallShow.Method + " " + externalapi.CallShow.Path:
		if s.doc == nil {
			writeRejection(w, http.StatusNotFound, "no configuration yet", nil)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(s.doc.Show())
		return
	case externalapi.CallResidency.Method + " " + externalapi.CallResidency.Path:
		s.residency(w, r)
		return
	case externalapi.CallStatus.Method + " " + externalapi.CallStatus.Path:
		s.statusCalls++
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.fleetStatus(r.URL.Query().Has(externalapi.QueryLocal)))
		return
	case externalapi.CallReplace.Method + " " + externalapi.CallReplace.Path:
	case externalapi.CallUpdate.Method + " " + externalapi.CallUpdate.Path:
		change = routingconfig.Update
	default:
		writeRejection(w, http.StatusNotFound, "no such call", nil)
		return
	}
	base, err := strconv.ParseInt(r.Header.Get(externalapi.HeaderBaseVersion), 10, 64)
	if err != nil || base != s.doc.Version() {
		writeRejection(w, http.StatusPreconditionFailed, "version "+strconv.FormatInt(s.doc.Version(), 10)+" is in place",
			nil)
		return
	}
	next, found := change(s.doc, body)
	if len(found) > 0 {
		writeRejection(w, http.StatusBadRequest, "the configuration is invalid", found)
		return
	}
	s.previous, s.doc, s.statusCalls = s.doc, next, 0
}

// residency answers with a report on two tenants, as a control server does.
func (s *fakeControlPlane) residency(w http.ResponseWriter, r *http.Request) {
	at := time.Date(2026, time.December, 1, 8, 0, 0, 0, time.UTC)
	tenant, route := r.URL.Query().Get(externalapi.QueryTenant), r.URL.Query().Get(externalapi.QueryRoute)
	answer := externalapi.ResidencyReport{Seq: 41}
	for _, one := range []externalapi.ResidencyRow{
		{Route: "r-old", Region: "kanto", First: at, Last: at.Add(1500 * time.Millisecond), Plain: 3},
		{
			Tenant:   "kochi-labs",
			Region:   "kerala-central",
			First:    at.Add(250 * time.Millisecond),
			Last:     at.Add(30 * time.Hour),
			Plain:    12,
			Prefills: 871,
			Decodes:  902,
			Resumes:  4,
		},
		{
			Tenant:   "kochi-labs",
			Region:   "kerala-north",
			First:    at.Add(time.Minute),
			Last:     at.Add(24 * time.Hour),
			Prefills: 40,
			Decodes:  51,
		},
	} {
		if (tenant == "" || one.Tenant == tenant) && (route == "" || one.Route == route) {
			answer.Rows = append(answer.Rows, one)
		}
	}
	if len(answer.Rows) == 0 && tenant != "new-labs" {
		writeRejection(w, http.StatusNotFound,
			"nothing is known of such a name: it is not listed and nothing of it rested anywhere", nil)
		return
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// writeRejection writes the answer with which a control server rejects a change.
func writeRejection(w http.ResponseWriter, status int, why string, in routingconfig.Findings) {
	w.WriteHeader(status)
	list := []map[string]string{}
	for _, f := range in {
		list = append(list, map[string]string{"place": f.Path, "text": f.Message})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"err": why, "findings": list})
}

// build returns fixed build information for the commands under test.
func build() (*debug.BuildInfo, bool) {
	return &debug.BuildInfo{GoVersion: "go1.26.8", Main: debug.Module{Version: "v1.2.0"}, Settings: []debug.BuildSetting{
		{Key: "GOOS", Value: "linux"}, {Key: "GOARCH", Value: "amd64"}, {Key: "vcs.revision", Value: "a923778"},
		{Key: "vcs.time", Value: "2026-12-02T04:06:00Z"}, {Key: "vcs.modified", Value: "true"}}}, true
}

// fleetctl runs a command line. No settings file is set by the environment.
func fleetctl(tb testing.TB, args ...string) (code int, out, errOut string) {
	tb.Setenv("MOLEPADDLE_CONFIG", "")
	var o, e bytes.Buffer
	code = run(context.Background(), args, &o, &e, build)
	return code, o.String(), e.String()
}

func data(name string) string { return filepath.Join("testdata", name) }

// unusedAddr returns an address where nothing listens.
func unusedAddr(c *qt.C) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}

func TestCheckExitCodes(t *testing.T) {
	c := qt.New(t)
	for _, one := range []struct {
		files []string
		code  int
	}{
		{[]string{"boot.toml", "fleet.json"}, exitOK},
		{[]string{"boot.toml", "bad.json"}, exitFailure},
		{[]string{"lacking.toml"}, exitFailure},
		{[]string{"wrong.toml"}, exitFailure},
		{[]string{"cut.json"}, exitFailure},
		{[]string{"reading.json"}, exitFailure},
		{[]string{"absent.toml", "bad.json"}, exitUsage},
		{[]string{"bad.json", "absent.toml"}, exitUsage},
	} {
		args := []string{"check"}
		for _, f := range one.files {
			args = append(args, data(f))
		}
		code, _, _ := fleetctl(t, args...)
		c.Check(code, qt.Equals, one.code, qt.Commentf("%v", one.files))
	}
}

func TestCheckReportsAllFindings(t *testing.T) {
	c := qt.New(t)
	code, out, errOut := fleetctl(t, "check", "--json", data("wrong.toml"), data("bad.json"), data("absent.toml"))
	c.Assert(code, qt.Equals, exitUsage)
	c.Assert(errOut, qt.Equals, "")
	var all []fileReport
	c.Assert(json.Unmarshal([]byte(out), &all), qt.IsNil)
	c.Assert(all, qt.HasLen, 3)
	c.Check(all[0].Kind, qt.Equals, kindSettings)
	c.Check(all[0].Findings, qt.DeepEquals, []finding{
		{"ip", "must be an IPv4 address"},
		{"port_range", "the first port must not be above the last"},
		{"bnds.ack_ms", "must be above 0"},
	})
	c.Check(all[1].Kind, qt.Equals, kindConfiguration)
	c.Check(all[1].Findings, qt.DeepEquals, []finding{
		{"routing[1].deadline_ms", "must be above 0"},
		{"routing[1].shares[1].svc", `the service "obs-lookpu" is not known`},
	})
	c.Check(all[2].Error, qt.Contains, "no such file")
}

func TestCheckSanitizesTerminalOutput(t *testing.T) {
	c := qt.New(t)
	name := filepath.Join(t.TempDir(), "x.json")
	c.Assert(os.WriteFile(name, []byte("{\"ver\":1,\"routing\":[],\"svcs\":[],\"caps\":{\"a\\u001b[2Jb\":1,\"a\\u001b[2Jb\":2}}"), 0o600), qt.IsNil)
	code, out, _ := fleetctl(t, "check", name)
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(out, qt.Contains, "given twice")
	c.Assert(strings.ContainsRune(out, 0x1b), qt.IsFalse)
}

func TestProposeUsesCurrentVersion(t *testing.T) {
	c := qt.New(t)
	s := newFakeControlPlane(c)
	// While there is no configuration, three answers of 404 mean that there is none.
	show := "GET /molepaddle/cfg/show"
	code, out, _ := fleetctl(t, "propose", data("fleet.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "version 5 on top of 0")
	c.Assert(s.recordedCalls(), qt.DeepEquals, []string{show, show, show, "POST /molepaddle/cfg/replace 0"})
	code, out, _ = fleetctl(t, "propose", data("next.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "version 7 on top of 5")
	c.Assert(s.recordedCalls()[4:], qt.DeepEquals, []string{show, "POST /molepaddle/cfg/replace 5"})
	// The configuration in force is not sent again.
	code, out, _ = fleetctl(t, "propose", data("next.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "in force already")
	c.Assert(s.recordedCalls(), qt.HasLen, 7)
	// With --base the current version is not requested.
	code, _, errOut := fleetctl(t, "propose", data("back.json"), "--control", s.addr, "--base", "5")
	c.Assert(code, qt.Equals, exitVersionConflict)
	c.Assert(errOut, qt.Contains, "(412): version 7 is in place")
	c.Assert(s.recordedCalls()[7:], qt.DeepEquals, []string{"POST /molepaddle/cfg/replace 5"})
}

func TestProposeReportsFindings(t *testing.T) {
	c := qt.New(t)
	s := newFakeControlPlane(c)
	code, out, errOut := fleetctl(t, "propose", data("bad.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(out, qt.Contains, data("bad.json")+": routing[1].deadline_ms: must be above 0\n")
	c.Assert(out, qt.Contains, `routing[1].shares[1].svc: the service "obs-lookpu" is not known`)
	c.Assert(errOut, qt.Contains, "refused by "+s.addr+" (400): the configuration is invalid")

	code, out, errOut = fleetctl(t, "propose", "--json", data("bad.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Equals, "")
	var got changeResult
	c.Assert(json.Unmarshal([]byte(out), &got), qt.IsNil)
	c.Assert(got.Status, qt.Equals, 400)
	c.Assert(got.Version, qt.Equals, int64(12))
	c.Assert(got.Findings, qt.HasLen, 2)
}

func TestProposeAndUpdateRejectOtherKind(t *testing.T) {
	c := qt.New(t)
	s := newFakeControlPlane(c)
	code, _, errOut := fleetctl(t, "update", data("fleet.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Contains, "molepaddle-fleet propose")
	code, _, errOut = fleetctl(t, "propose", data("reading.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Contains, "molepaddle-fleet update")
	c.Assert(s.recordedCalls(), qt.HasLen, 0)
}

func TestUpdate(t *testing.T) {
	c := qt.New(t)
	s := newFakeControlPlane(c)
	code, _, _ := fleetctl(t, "propose", data("next.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitOK)
	code, out, errOut := fleetctl(t, "update", data("reading.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	c.Assert(out, qt.Contains, "version 9 on top of 7")
	code, out, _ = fleetctl(t, "show", "--json", "--control", s.addr)
	c.Assert(code, qt.Equals, exitOK)
	d, found := routingconfig.Decode([]byte(out))
	c.Assert(found, qt.HasLen, 0)
	c.Assert(d.NumRoutes(), qt.Equals, 3)
}

// TestIndeterminate: if a control server receives a change and doesn't answer, the change may be in force or not. If no
// server could be reached, or only the version in force was requested, nothing has changed.
func TestIndeterminate(t *testing.T) {
	c := qt.New(t)
	silent := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
	})
	nobody := unusedAddr(c)
	for _, args := range [][]string{
		{"show"}, {"diff", data("fleet.json")}, {"propose", data("fleet.json")},
		{"propose", "--base", "0", data("fleet.json")},
		{"update", "--base", "7", data("reading.json")}, {"route", "a", "/b"},
	} {
		isChange := len(args) > 2 && args[1] == "--base"
		wantCode := exitIndeterminate
		if args[0] == "propose" && !isChange {
			wantCode = exitFailure // the change itself was not sent
		}
		code, _, errOut := fleetctl(t, append(args, "--control", silent, "--within", "150ms")...)
		c.Check(code, qt.Equals, wantCode, qt.Commentf("%v", args))
		c.Check(errOut, qt.Contains, "no clear answer: "+silent, qt.Commentf("%v", args))
		c.Check(strings.Contains(errOut, "Send it again with --base "), qt.Equals, isChange, qt.Commentf("%s", errOut))
		c.Check(strings.Contains(errOut, "the change was not sent"), qt.Equals, wantCode == exitFailure)
		if isChange {
			c.Check(errOut, qt.Contains, "Send it again with --base "+args[2])
		}

		code, _, errOut = fleetctl(t, append(args, "--control", nobody, "--within", "150ms")...)
		c.Check(code, qt.Equals, exitFailure, qt.Commentf("%v", args))
		c.Check(errOut, qt.Contains, "nothing was sent: "+nobody, qt.Commentf("%v", args))
		c.Check(strings.Contains(errOut, "Send it again"), qt.IsFalse, qt.Commentf("%s", errOut))
	}
}

func TestDiffReportsRejections(t *testing.T) {
	c := qt.New(t)
	s := newFakeControlPlane(c)
	code, _, _ := fleetctl(t, "propose", data("next.json"), "--control", s.addr, "--base", "0")
	c.Assert(code, qt.Equals, exitOK)
	code, out, _ := fleetctl(t, "diff", "--json", data("fleet.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitFailure)
	var o diffResult
	c.Assert(json.Unmarshal([]byte(out), &o), qt.IsNil)
	c.Check(o.From, qt.Equals, int64(7))
	c.Check(o.To, qt.Equals, int64(5))
	c.Check(o.Findings, qt.DeepEquals, []finding{{"ver", "5 is not above the current version, 7"}})
	c.Check(len(o.Changes) > 0, qt.IsTrue)
	// The configuration in force is no change, and would not be rejected.
	code, out, _ = fleetctl(t, "diff", data("next.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Equals, "version 7 -> 7: 0 changes\n")
	// An update is applied to the configuration in force.
	code, out, _ = fleetctl(t, "diff", data("reading.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "+ route r-reading")
	c.Assert(s.recordedCalls()[1:], qt.DeepEquals,
		[]string{"GET /molepaddle/cfg/show", "GET /molepaddle/cfg/show", "GET /molepaddle/cfg/show"})
}

func TestControlFromSettings(t *testing.T) {
	c := qt.New(t)
	s := newFakeControlPlane(c)
	name := filepath.Join(t.TempDir(), "boot.toml")
	c.Assert(os.WriteFile(name, []byte("nodename = \"n\"\nip = \"127.0.0.1\"\nport_range = [1, 9]\npeers = [\""+s.addr+"\"]\n"), 0o600), qt.IsNil)
	code, _, errOut := fleetctl(t, "propose", data("fleet.json"), "--settings", name)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	code, out, _ := fleetctl(t, "show", "--settings", name)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "version 5: 3 routes, 2 services, from "+s.addr)
}

func TestUsage(t *testing.T) {
	c := qt.New(t)
	for _, args := range [][]string{
		{}, {"bogus"}, {"check"}, {"show"}, {"show", "--control", "here"}, {"show", "--control", "127.0.0.1:0"},
		{"show", "--control", "127.0.0.1:1", "--within", "0s"}, {"show", "--settings", data("absent.toml")},
		{"propose", data("absent.json"), "--control", "127.0.0.1:1"},
		{"diff", data("absent.json"), "--control", "127.0.0.1:1"},
		{"route", "a", "b", "--file", data("fleet.json")}, {"route", "a", "/b", "--file", data("absent.json")},
	} {
		code, out, errOut := fleetctl(t, args...)
		c.Check(code, qt.Equals, exitUsage, qt.Commentf("%v: %s", args, errOut))
		c.Check(out, qt.Equals, "")
		c.Check(errOut, qt.Matches, "(?s)molepaddle-fleet: .+\n")
	}
	for _, program := range []string{"proxy", "node-agent", "control-plane"} {
		code, _, errOut := fleetctl(t, program)
		c.Check(code, qt.Equals, exitFailure)
		c.Check(errOut, qt.Equals, "molepaddle-fleet: no settings file: MOLEPADDLE_CONFIG or --settings gives its path\n")
		code, _, errOut = fleetctl(t, program, "--settings", data("wrong.toml"))
		c.Check(code, qt.Equals, exitFailure)
		c.Check(strings.Count(errOut, "\n"), qt.Equals, 3, qt.Commentf("all findings: %s", errOut))
	}
}

func TestRoute(t *testing.T) {
	c := qt.New(t)
	code, out, _ := fleetctl(t, "route", "Forecast.Example:8161", "/hazard/7?q=1", "--file", data("next.json"))
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "route r-hazard of version 7")
	c.Assert(out, qt.Contains, "100% to service sora-llm")
	code, _, errOut := fleetctl(t, "route", "forecast.example", "/old/1", "--file", data("next.json"))
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Contains, "no route for forecast.example/old/1: the answer is 404")
	code, out, _ = fleetctl(t, "route", "forecast.example", "/old/1", "--file", data("bad.json"))
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(out, qt.Contains, "routing[1].deadline_ms")
	s := newFakeControlPlane(c)
	_, _, _ = fleetctl(t, "propose", data("fleet.json"), "--control", s.addr)
	code, out, _ = fleetctl(t, "route", "forecast.example", "/old/1", "--control", s.addr)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "route r-old of version 5")
}

func TestVersion(t *testing.T) {
	c := qt.New(t)
	code, out, _ := fleetctl(t, "--version")
	c.Assert(code, qt.Equals, exitOK)
	code2, out2, _ := fleetctl(t, "version")
	c.Assert(code2, qt.Equals, exitOK)
	c.Assert(out, qt.Equals, out2)
	var b, e bytes.Buffer
	c.Assert(run(context.Background(), []string{"version"}, &b, &e,
		func() (*debug.BuildInfo, bool) { return nil, false }), qt.Equals, exitOK)
	c.Assert(b.String(), qt.Equals, "molepaddle-fleet, of a build that says nothing of itself\n")
	c.Assert(run(context.Background(), []string{"version"}, &b, &e, debug.ReadBuildInfo), qt.Equals, exitOK)
}

func TestCompletion(t *testing.T) {
	c := qt.New(t)
	t.Setenv("COMP_LINE", "molepaddle-fleet pro")
	code, out, _ := fleetctl(t)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(slices.Sorted(slices.Values(strings.Fields(out))), qt.DeepEquals, []string{"propose", "proxy"})
}
