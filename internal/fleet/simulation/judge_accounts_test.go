package simulation

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// keyTenants are the tenants of the keys in the tests of API keys: a key that one tenant has throughout, one that moved
// from one tenant to another, and one that was added or revoked.
var keyTenants = map[string][]string{
	"key-a":     {"a"},
	"key-moved": {"a", "b"},
	"key-added": {"", "b"},
}

// fields returns a header with fields given as "Name: value", with the names in the case given.
func fields(lines ...string) http.Header {
	h := http.Header{}
	for _, line := range lines {
		name, value, _ := strings.Cut(line, ": ")
		h[name] = append(h[name], value)
	}
	return h
}

// TestJudgeTenants: a run or prefill that got the client's key, or that names another tenant than one of the key's, is
// found; so is one that names several, or none although the key has one. Without keys, or if the request didn't run,
// nothing is found.
func TestJudgeTenants(t *testing.T) {
	const named = HeaderTenant + ": "
	bearer := func(key string) http.Header { return fields("Authorization: Bearer " + key) }
	for _, tc := range []struct {
		name       string
		sent, came http.Header
		want       []Rule
	}{
		{"its tenant", bearer("key-a"), fields(named + "a"), []Rule{}},
		{"the key as well", bearer("key-a"), fields("Authorization: Bearer key-a", named+"a"), []Rule{UNASKED}},
		{"the key in another case", bearer("key-a"), fields("authorization: Bearer key-a", named+"a"), []Rule{UNASKED}},
		{"the key under a name with a space", bearer("key-a"), fields("Authorization : x", named+"a"), []Rule{UNASKED}},
		{"the key in place of its tenant", bearer("key-a"), bearer("key-a"), []Rule{UNASKED, UNASKED}},
		{"an empty Authorization", nil, fields("Authorization: "), []Rule{UNASKED}},
		{"a key that nobody had", bearer("key-x"), bearer("key-x"), []Rule{UNASKED}},
		{"another tenant", bearer("key-a"), fields(named + "b"), []Rule{UNASKED}},
		{"its tenant in another case", bearer("key-a"), fields(named + "A"), []Rule{UNASKED}},
		{"no tenant", bearer("key-a"), nil, []Rule{UNASKED}},
		{"an empty tenant", bearer("key-a"), fields(named), []Rule{UNASKED}},
		{"its tenant twice", bearer("key-a"), fields(named+"a", named+"a"), []Rule{UNASKED}},
		{"its tenant and another", bearer("key-a"), fields(named+"a", "x-molepaddle-tenant: b"), []Rule{UNASKED}},
		{"its first tenant", bearer("key-moved"), fields(named + "a"), []Rule{}},
		{"its second tenant", bearer("key-moved"), fields(named + "b"), []Rule{}},
		{"neither tenant", bearer("key-moved"), fields(named + "c"), []Rule{UNASKED}},
		{"none between two tenants", bearer("key-moved"), nil, []Rule{UNASKED}},
		{"before it was added", bearer("key-added"), nil, []Rule{}},
		{"once it was added", bearer("key-added"), fields(named + "b"), []Rule{}},
		{"an empty tenant before it was added", bearer("key-added"), fields(named), []Rule{UNASKED}},
		{"no key", nil, nil, []Rule{}},
		{"no key, with a tenant", nil, fields(named + "a"), []Rule{UNASKED}},
		{"no key, with the tenant of the client", fields(named + "a"), fields(named + "a"), []Rule{UNASKED}},
		{"an unknown key", bearer("key-x"), nil, []Rule{}},
		{"an unknown key, with a tenant", bearer("key-x"), fields(named + "a"), []Rule{UNASKED}},
		{"the scheme in another case", fields("authorization: bEARER  key-a "), fields(named + "a"), []Rule{}},
		{"another scheme", fields("Authorization: Basic key-a"), fields(named + "a"), []Rule{UNASKED}},
		{"two keys", fields("Authorization: Bearer key-a", "Authorization: Bearer key-moved"), fields(named + "a"),
			[]Rule{UNASKED}},
		{"two keys, none named", fields("Authorization: Bearer key-a", "authorization: Bearer key-a"), nil, []Rule{}},
		{"other fields", bearer("key-a"), fields(named+"a", "X-Authorization: x", "X-Molepaddle-Tenants: b"), []Rule{}},
	} {
		for _, kind := range []EntryKind{KindRequest, KindPrefill} {
			what := qt.Commentf("%s, %s", tc.name, kind)
			found := judgeTenants(Entry{Kind: kind, Header: tc.came, Ran: true}, tc.sent, keyTenants)
			qt.Check(t, rules(found), qt.DeepEquals, tc.want, what)
			for _, f := range found {
				qt.Check(t, strings.Contains(f.Message, "key-"), qt.IsFalse, qt.Commentf("it shows a key: %s", f.Message))
			}
			qt.Check(t, judgeTenants(Entry{Kind: kind, Header: tc.came, Ran: true}, tc.sent, nil), qt.HasLen, 0, what)
			qt.Check(t, judgeTenants(Entry{Kind: kind, Header: tc.came}, tc.sent, keyTenants), qt.HasLen, 0, what)
		}
	}
}

// judgeTenants judges the arrival at a backend of a request that was sent with some fields. Nil tenants: no keys are
// required.
func judgeTenants(en Entry, sent http.Header, tenants map[string][]string) []Finding {
	en.Attempt = "r"
	o := recorded(Bounds{}, []Entry{en}, []Result{{Request: Request{Attempt: "r", Header: sent}}})
	o.tenants = tenants
	o.checkArrival(&o.entries[0])
	return o.findings
}

// TestJudgeTenantsAtEngines: the judge finds a key and another's tenant in what an Engine itself recorded.
func TestJudgeTenantsAtEngines(t *testing.T) {
	c := qt.New(t)
	e := StartEngine(t, EngineSettings{})
	r := do(c, e, Request{Path: "/a/", Header: fields("authorization: Bearer key-a", "x-molepaddle-tenant: b")})
	j := &Judge{Engines: []*Engine{e}, Results: []Result{r}}
	c.Check(j.Findings(), qt.HasLen, 0)
	j.Tenants = keyTenants
	c.Check(rules(j.Findings()), qt.DeepEquals, []Rule{UNASKED, UNASKED})
}
