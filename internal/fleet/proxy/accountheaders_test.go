package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/simulation"
)

// The accounts of these tests: "plain" has the priority of its routes, "urgent" and "late" have their own. publicRoute
// accepts requests without a key.
const (
	plainKey      = "key-of-plain"
	urgentKey     = "key-of-urgent"
	lateKey       = "key-of-late"
	unknownKey64K = 64 << 10 // length of a key that is not configured
	publicRoute   = "freeread"
	routePriority = 4
)

// accountKeys are the keys of these tests with their tenants, for simulation.Judge.
var accountKeys = map[string][]string{plainKey: {"plain"}, urgentKey: {"urgent"}, lateKey: {"late"}}

// withAccounts returns a configuration with the accounts of these tests, a public route and a priority for all routes.
func withAccounts(doc []byte) []byte {
	accounts := fmt.Sprintf(`"accounts":[{"name":"plain","apikeys":[%q]},{"name":"urgent","apikeys":[%q],"prio":0},`+
		`{"name":"late","apikeys":[%q],"prio":30}],"routing":`, plainKey, urgentKey, lateKey)
	return []byte(strings.NewReplacer(
		`"routing":`, accounts,
		`"name":"`+publicRoute+`"`, `"public":true,"name":"`+publicRoute+`"`,
		`"pin":true`, fmt.Sprintf(`"pin":true,"prio":%d`, routePriority),
	).Replace(string(doc)))
}

// newAccountsRig starts a rig whose configuration has the accounts of these tests.
func newAccountsRig(tb testing.TB, engines ...simulation.EngineSettings) *rig {
	tb.Helper()
	r := newRig(tb, engines...)
	r.proxy.settings.Bounds.Apply = testTimeout // no newer version can be required during these tests
	doc := withAccounts(r.document())
	applyResource(r.proxy, distribution.ConfigType, uint64(r.version), doc)
	r.Assert(r.proxy.snapshot.Load().version, qt.Equals, int64(r.version))
	r.termsHistory = append(r.termsHistory, simulation.Term{From: time.Now()})
	return r
}

// bearer returns an Authorization field with a key.
func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// mergeHeaders returns the fields of several headers.
func mergeHeaders(headers ...http.Header) http.Header {
	out := http.Header{}
	for _, h := range headers {
		for name, values := range h {
			out[name] = append(out[name], values...)
		}
	}
	return out
}

// routeRequestWith returns a request to a route with additional fields.
func routeRequestWith(route string, own int, tokens [2]int, header http.Header) simulation.Request {
	q := routeRequest(route, own, own, tokens)
	q.Header = header
	return q
}

// arrivals returns the runs and prefills of a request at backends.
func (r *rig) arrivals(attempt string) (all []simulation.Entry) {
	for _, e := range r.engines {
		for _, en := range e.Log.Entries() {
			if en.Attempt == attempt && (en.Kind == simulation.KindRequest || en.Kind == simulation.KindPrefill) {
				all = append(all, en)
			}
		}
	}
	return all
}

// checkTenant checks that a request reached backends, each time without a key and with the name of its tenant, or
// without a tenant if that is "".
func (r *rig) checkTenant(of simulation.Result, tenant, what string) {
	r.Helper()
	var want []string
	if tenant != "" {
		want = []string{tenant}
	}
	came := r.arrivals(of.Attempt)
	r.Check(len(came) > 0, qt.IsTrue, qt.Commentf("%s came to no backend: %d %v", what, of.Status, of.Err))
	for _, en := range came {
		r.Check(en.Header["X-Molepaddle-Tenant"], qt.DeepEquals, want, qt.Commentf("%s, %s", what, en.Kind))
		r.Check(en.Header["Authorization"], qt.HasLen, 0, qt.Commentf("%s, %s", what, en.Kind))
	}
}

// checkAccountFindings checks the recorded events against the accounts, in addition to closeAndCheck. It must be called
// before that.
func (r *rig) checkAccountFindings() {
	r.Helper()
	j := &simulation.Judge{Engines: r.engines, Clients: []*simulation.Client{r.client}, Tenants: accountKeys}
	r.Check(j.Findings(), qt.HasLen, 0)
}

// TestForgedTenantReachesNoBackend has clients send a tenant header in every form, with a key, and on a public route
// without one or with an unknown one: backends receive the name of the key's tenant, or none.
func TestForgedTenantReachesNoBackend(t *testing.T) {
	r := newAccountsRig(t, enginesInAllRegions(nil)...)
	forgeries := map[string]http.Header{
		"none":             nil,
		"once":             {"X-Molepaddle-Tenant": {"urgent"}},
		"its own":          {"X-Molepaddle-Tenant": {"plain"}},
		"lower case":       {"x-molepaddle-tenant": {"urgent"}},
		"upper case":       {"X-MOLEPADDLE-TENANT": {"urgent"}},
		"twice":            {"X-Molepaddle-Tenant": {"urgent", "late"}},
		"in two cases":     {"X-Molepaddle-Tenant": {"urgent"}, "x-molepaddle-tenant": {"late"}},
		"with spaces":      {"X-Molepaddle-Tenant": {" \t urgent \t "}},
		"with inner space": {"X-Molepaddle-Tenant": {"urgent plain"}},
		"empty":            {"X-Molepaddle-Tenant": {""}},
		"of the connection": {
			"Connection":          {"X-Molepaddle-Tenant"},
			"X-Molepaddle-Tenant": {"urgent"},
		},
		"of the connection, with the key": {
			"Connection":          {"x-molepaddle-tenant, authorization,X-Molepaddle-Tenant"},
			"x-molepaddle-tenant": {"urgent"},
		},
		"named by the connection alone": {"Connection": {"X-Molepaddle-Tenant, Authorization"}},
	}
	for name, forged := range forgeries {
		for i, one := range []struct {
			route, tenant string
			key           http.Header
		}{
			{"read", "plain", bearer(plainKey)},
			{"post", "urgent", bearer(urgentKey)},
			{"once", "plain", bearer(plainKey)},
			{publicRoute, "", nil},
			{publicRoute, "plain", bearer(plainKey)},
			{publicRoute, "", bearer("key-of-nobody")},
			{publicRoute, "", http.Header{"Authorization": {"Basic " + plainKey}}},
			{publicRoute, "", http.Header{"Authorization": {"Bearer " + plainKey, "Bearer " + urgentKey}}},
		} {
			what := fmt.Sprintf("%s, %s with %v", name, one.route, one.key)
			got := r.client.Do(r.Context(), routeRequestWith(one.route, i, [2]int{220, 4}, mergeHeaders(forged, one.key)))
			r.Check(got.OK(), qt.IsTrue, qt.Commentf("%s: %d %v", what, got.Status, got.Err))
			r.checkTenant(got, one.tenant, what)
		}
	}
	r.checkAccountFindings()
	r.closeAndCheck()
}

// TestAuthorizationFieldForms has clients send their key in many forms. Only a single Authorization field with the
// scheme in any case and the exact key is accepted. Anything else gets 401 and reaches no backend, and runs without a
// tenant on a public route.
func TestAuthorizationFieldForms(t *testing.T) {
	r := newAccountsRig(t, enginesInAllRegions(nil)...)
	authorization := func(values ...string) http.Header { return http.Header{"Authorization": values} }
	for _, one := range []struct {
		name   string
		header http.Header
		known  bool
	}{
		{"usual", authorization("Bearer " + plainKey), true},
		{"scheme in lower case", authorization("bearer " + plainKey), true},
		{"scheme in upper case", authorization("BEARER " + plainKey), true},
		{"field in lower case", http.Header{"authorization": {"Bearer " + plainKey}}, true},
		{"more spaces", authorization("Bearer    " + plainKey), true},
		{"spaces around", authorization("  Bearer " + plainKey + "  "), true},
		{"the same twice", authorization("Bearer "+plainKey, "Bearer "+plainKey), false},
		{"two", authorization("Bearer "+plainKey, "Bearer "+urgentKey), false},
		{"twice, in two cases", mergeHeaders(bearer(plainKey), http.Header{"AUTHORIZATION": {"Bearer x"}}), false},
		{"two in one field", authorization("Bearer " + plainKey + ", Bearer " + urgentKey), false},
		{"another scheme", authorization("Basic " + plainKey), false},
		{"no scheme", authorization(plainKey), false},
		{"the scheme alone", authorization("Bearer"), false},
		{"empty", authorization(""), false},
		{"a tab", authorization("Bearer\t" + plainKey), false},
		{"the key in another case", authorization("Bearer " + strings.ToUpper(plainKey)), false},
		{"a part of the key", authorization("Bearer " + plainKey[:len(plainKey)-1]), false},
		{"more than the key", authorization("Bearer " + plainKey + "x"), false},
		{"quoted", authorization(`Bearer "` + plainKey + `"`), false},
		{"the name of a tenant", authorization("Bearer plain"), false},
		{"64 KB", authorization("Bearer " + strings.Repeat("k", unknownKey64K)), false},
		{"64 KB after the key", authorization("Bearer " + plainKey + strings.Repeat(" ", unknownKey64K) + "x"), false},
		{"in the field of proxies", http.Header{"Proxy-Authorization": {"Bearer " + plainKey}}, false},
		{"none", nil, false},
	} {
		tenant := ""
		if one.known {
			tenant = "plain"
		}
		open := r.client.Do(r.Context(), routeRequestWith(publicRoute, 0, [2]int{}, one.header))
		r.Check(open.OK(), qt.IsTrue, qt.Commentf("%s, public: %d %v", one.name, open.Status, open.Err))
		r.checkTenant(open, tenant, one.name+", public")
		for _, route := range []string{"read", "post", "once"} {
			what := one.name + ", " + route
			got := r.client.Do(r.Context(), routeRequestWith(route, 0, [2]int{220, 4}, one.header))
			if one.known {
				r.Check(got.OK(), qt.IsTrue, qt.Commentf("%s: %d %v", what, got.Status, got.Err))
				r.checkTenant(got, tenant, what)
				continue
			}
			r.Check(got.Status, qt.Equals, http.StatusUnauthorized, qt.Commentf("%s: %v", what, got.Err))
			r.Check(r.arrivals(got.Attempt), qt.HasLen, 0, qt.Commentf("%s came to a backend", what))
		}
	}
	r.checkAccountFindings()
	r.closeAndCheck()
}

// TestFieldNamesWithSpaceAreRejected has a client send a field name with a space, which does not match the tenant's or
// the key's exactly, but might at a lenient backend: no backend receives such a request.
func TestFieldNamesWithSpaceAreRejected(t *testing.T) {
	r := newAccountsRig(t, enginesInAllRegions(nil)...)
	for _, field := range []string{"X-Molepaddle-Tenant : urgent", " X-Molepaddle-Tenant: urgent",
		"Authorization : Bearer " + urgentKey, "X-Molepaddle-Tenant\t: urgent", "X-Molepaddle-Tenant\x00: urgent"} {
		conn, err := net.Dial("tcp", r.client.Edge)
		r.Assert(err, qt.IsNil)
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		_, err = fmt.Fprintf(conn, "GET /%s/x HTTP/1.1\r\n%s\r\nHost: h\r\nX-Molepaddle-Attempt-Id: spaced\r\n"+
			"Authorization: Bearer %s\r\nConnection: close\r\n\r\n", publicRoute, field, plainKey)
		r.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		r.Assert(err, qt.IsNil, qt.Commentf("%q", field))
		_, _ = io.Copy(io.Discard, resp.Body)
		conn.Close()
		r.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf("%q", field))
		r.Check(r.arrivals("spaced"), qt.HasLen, 0, qt.Commentf("%q", field))
	}
}

// TestTrailersReachNoBackend has a client send a tenant and a key in trailers: they do not become header fields of the
// request.
func TestTrailersReachNoBackend(t *testing.T) {
	r := newAccountsRig(t, enginesInAllRegions(nil)...)
	conn, err := net.Dial("tcp", r.client.Edge)
	r.Assert(err, qt.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Molepaddle-Attempt-Id: trailed\r\n"+
		"Trailer: X-Molepaddle-Tenant, Authorization\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"+
		"4\r\ndata\r\n0\r\nX-Molepaddle-Tenant: urgent\r\nAuthorization: Bearer %s\r\n\r\n", publicRoute, plainKey)
	r.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.Assert(err, qt.IsNil)
	_, _ = io.Copy(io.Discard, resp.Body)
	r.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	r.checkTenant(simulation.Result{Request: simulation.Request{Attempt: "trailed"}}, "", "trailers")
}

// TestTenantIsFixedAtArrival moves a key to another tenant, and removes its account, during a stream that breaks off
// later: the stream is resumed for the tenant at its arrival, and the next request belongs to the new tenant.
func TestTenantIsFixedAtArrival(t *testing.T) {
	r := newAccountsRig(t, enginesInAllRegions(nil)...)
	var moved sync.Once
	r.onStreamStart = func() {
		moved.Do(func() {
			doc := strings.Replace(string(withAccounts(r.document())), `{"name":"plain",`, `{"name":"heir",`, 1)
			applyResource(r.proxy, distribution.ConfigType, uint64(r.version), []byte(doc))
		})
	}
	setFaults(r.engines, simulation.Faults{CutAfter: 2})
	q := routeRequestWith("free", 0, [2]int{220, 8}, bearer(plainKey))
	got := r.client.Do(r.Context(), q)
	r.checkTenant(got, "plain", "the stream")
	resumed := slices.ContainsFunc(r.arrivals(got.Attempt), func(en simulation.Entry) bool {
		return en.Header.Get("Last-Event-Id") != ""
	})
	r.Check(resumed, qt.IsTrue, qt.Commentf("the stream wasn't resumed"))

	setFaults(r.engines, simulation.Faults{})
	r.checkTenant(r.client.Do(r.Context(), routeRequestWith("read", 0, [2]int{}, bearer(plainKey))),
		"heir", "the next request")
	r.checkTenant(r.client.Do(r.Context(), routeRequestWith("read", 0, [2]int{}, bearer(lateKey))), "late", "another's")
}

// countCalls counts the backend calls of a request by kind.
func (r *rig) countCalls(of simulation.Result, seen map[string]int) {
	runs, prefills := 0, 0
	for _, en := range r.arrivals(of.Attempt) {
		if en.Kind == simulation.KindPrefill {
			prefills++
			continue
		}
		runs++
		if en.KVFrom != "" {
			seen["decode"]++
		}
		switch id := en.Header.Get("Last-Event-Id"); {
		case id == "" && runs > 1:
			seen["retried"]++
		case id != "" && of.LastEvent != 0:
			seen["resumed by the client"]++
		case id != "":
			seen["resumed"]++
		}
	}
	seen["prefill"] += min(prefills, 1)
	seen["prefilled again"] += max(prefills-1, 0)
}

// TestEveryAttemptNamesTheTenant has prompts prefilled at one backend and decoded at another, backends that fail or
// break off their streams, and clients that send a tenant and resume a stream themselves: every call of every attempt
// has the name of the key's tenant, and none has the key.
func TestEveryAttemptNamesTheTenant(t *testing.T) {
	engine := func(service string, phase simulation.Phase) simulation.EngineSettings {
		return simulation.EngineSettings{Service: service, Zone: "e1", Region: "east", Phase: phase, Capacity: 8}
	}
	r := newAccountsRig(t,
		engine("llm", simulation.PhasePrefill), engine("llm", simulation.PhasePrefill),
		engine("llm", simulation.PhaseDecode), engine("llm", simulation.PhaseDecode),
		engine("obs", simulation.PhaseNone), engine("obs", simulation.PhaseNone))
	prefillers, decoders, plain := r.engines[:2], r.engines[2:4], r.engines[4:]
	seen := map[string]int{}
	play := func(route string, tokens [2]int, lastEvent int) {
		for own := range 6 {
			q := routeRequestWith(route, own, tokens,
				mergeHeaders(bearer(plainKey), http.Header{"X-Molepaddle-Tenant": {"urgent"}}))
			q.LastEvent = lastEvent
			got := r.client.Do(r.Context(), q)
			r.checkTenant(got, "plain", fmt.Sprintf("%s of %d tokens", route, tokens[0]))
			r.countCalls(got, seen)
		}
	}
	play("free", [2]int{6000, 4}, 0)
	play("free", [2]int{220, 8}, 3)
	setFaults(decoders, simulation.Faults{CutAfter: 2}) // at all, so that the choice among them does not matter
	play("free", [2]int{6000, 8}, 0)
	play("free", [2]int{220, 8}, 0)
	setFaults(decoders, simulation.Faults{Fail: 500})
	setFaults(prefillers, simulation.Faults{LoseAnswer: true})
	play("free", [2]int{6000, 4}, 0)
	for _, fault := range []simulation.Faults{{Fail: 500}, {LoseAnswer: true}, {Garble: true}} {
		setFaults(plain, fault)
		play("read", [2]int{}, 0)
	}
	kinds := []string{"prefill", "decode", "resumed", "resumed by the client", "retried", "prefilled again"}
	for _, what := range kinds {
		r.Check(seen[what] > 0, qt.IsTrue, qt.Commentf("%s: none of %v", what, seen))
	}
	t.Logf("calls seen: %v", seen)
	r.checkAccountFindings()
	r.closeAndCheck()
}

// TestAccountPriorityOverridesRoutePriority sends prompts with a Priority field for accounts with and without a
// priority: backends receive the account's priority, or else the route's; 0 is reserved for prompts with a pending KV
// cache.
func TestAccountPriorityOverridesRoutePriority(t *testing.T) {
	r := newAccountsRig(t, enginesInAllRegions(nil)...)
	for _, one := range []struct {
		key  string
		want string
	}{
		{plainKey, fmt.Sprint(routePriority + 1)},
		{urgentKey, "1"},
		{lateKey, "9"},
	} {
		for _, tokens := range [][2]int{{220, 4}, {6000, 2}} {
			header := mergeHeaders(bearer(one.key), http.Header{"Priority": {"3"}})
			got := r.client.Do(r.Context(), routeRequestWith("once", 0, tokens, header))
			r.Check(got.OK(), qt.IsTrue, qt.Commentf("%s: %d %v", one.key, got.Status, got.Err))
			came := r.arrivals(got.Attempt)
			r.Check(len(came) > 0, qt.IsTrue)
			for _, en := range came {
				want := one.want
				if en.KVFrom != "" {
					want = "0"
				}
				r.Check(en.Header["Priority"], qt.DeepEquals, []string{want},
					qt.Commentf("%s, %s of %d tokens", one.key, en.Kind, tokens[0]))
			}
		}
	}
	r.checkAccountFindings()
	r.closeAndCheck()
}

// TestAuthorizationIsForwardedWithoutAccounts uses a configuration without accounts: an Authorization field is
// forwarded to the service unchanged, a tenant header from a client is not. The rule follows the configuration when
// accounts are added, and removed again.
func TestAuthorizationIsForwardedWithoutAccounts(t *testing.T) {
	r := newRig(t, enginesInAllRegions(nil)...)
	r.proxy.settings.Bounds.Apply = testTimeout
	check := func(when string, passed bool) {
		for _, route := range []string{"read", "post", "once", publicRoute} {
			for _, values := range [][]string{{"Bearer " + plainKey}, {"Basic dTpw"}, {"Bearer a", "Digest b"}, {""}} {
				what := fmt.Sprintf("%s, %s, %q", when, route, values)
				header := http.Header{"Authorization": values, "x-molepaddle-tenant": {"urgent"}}
				got := r.client.Do(r.Context(), routeRequestWith(route, 0, [2]int{220, 4}, header))
				came := r.arrivals(got.Attempt)
				if passed {
					r.Check(got.OK(), qt.IsTrue, qt.Commentf("%s: %d %v", what, got.Status, got.Err))
					r.Check(len(came) > 0, qt.IsTrue, qt.Commentf("%s", what))
				}
				for _, en := range came {
					if passed {
						r.Check(en.Header["Authorization"], qt.DeepEquals, values, qt.Commentf("%s", what))
						r.Check(en.Header["X-Molepaddle-Tenant"], qt.HasLen, 0, qt.Commentf("%s", what))
						continue
					}
					r.Check(en.Header["Authorization"], qt.HasLen, 0, qt.Commentf("%s", what))
				}
			}
		}
	}
	r.configure()
	check("before there are accounts", true)
	doc := withAccounts(r.document())
	applyResource(r.proxy, distribution.ConfigType, uint64(r.version), doc)
	check("while there are", false)
	r.configure()
	check("after", true)
	r.closeAndCheck()
}
