package main

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/simulation"
)

// openPath is the prefix of the route that needs no key where the configuration has accounts.
const openPath = "/open/"

// account returns an account of the configuration.
func account(name string, keys ...string) object { return object{"name": name, "apikeys": keys} }

// withAccounts returns a configuration with accounts, a public route, and a route that only this version has, which
// shows whether the version is in force.
func (f *fleet) withAccounts(version uint64, accounts ...object) object {
	doc := f.configuration(version)
	open := route("r-open", openPath, "readonly", lookups, 4000, 200, 3, false)
	open["public"] = true
	name := addedRouteName(version)
	added := route(name, "/"+name+"/", "readonly", lookups, 4000, 200, 3, false)
	doc["routing"] = append(doc["routing"].(list), open, added)
	doc["accounts"] = accounts
	return doc
}

// keyed returns a request with a key and further header fields.
func keyed(r simulation.Request, key string, more http.Header) simulation.Request {
	r.Header = maps.Clone(more)
	if r.Header == nil {
		r.Header = http.Header{}
	}
	if key != "" {
		r.Header["Authorization"] = append(r.Header["Authorization"], "Bearer "+key)
	}
	return r
}

// open returns a request on the public route.
func open() simulation.Request {
	r := lookup()
	r.Path = openPath + "x"
	return r
}

// unservable returns a request that no service may run.
func unservable(r simulation.Request) simulation.Request {
	r.Services = []string{}
	return r
}

// replaceAccounts replaces the configuration by one with accounts, and waits until all proxies have it. key must be one
// of its keys; it is used to check.
func (f *fleet) replaceAccounts(key string, accounts ...object) {
	f.Helper()
	version := f.version + 1
	f.replaceConfig(f.withTimeout(testTimeout), f.withAccounts(version, accounts...))
	for i := range f.clients {
		f.eventually(testTimeout, fmt.Sprintf("version %d in force at edge %d", version, i+1), func() bool {
			return f.clients[i].Do(f.ctx, keyed(addedRouteRequest(version), key, nil)).Status == http.StatusOK
		})
	}
}

// playKeys sends requests of all kinds to a proxy, with and without keys, and with a tenant that the client names.
func (f *fleet) playKeys(edge int, keys ...string) {
	f.Helper()
	do := func(r simulation.Request) simulation.Result { return f.clients[edge].Do(f.ctx, r) }
	forgeries := []http.Header{
		nil,
		{"X-Molepaddle-Tenant": {"forged"}},
		{"x-molepaddle-tenant": {"ferry", "forged"}},
		{"Connection": {"X-Molepaddle-Tenant, Authorization"}, "X-MOLEPADDLE-TENANT": {"airline"}},
	}
	for _, forged := range forgeries {
		for _, key := range keys {
			for _, r := range []simulation.Request{
				lookup(), report(), hazard(), bulletin(2000, 2), bulletin(40_000, 3), open(),
			} {
				f.checkServed(do(keyed(r, key, forged)), "with a key")
			}
		}
		f.checkServed(do(keyed(open(), "", forged)), "public, without a key")
		f.checkServed(do(keyed(open(), "key-of-nobody", forged)), "public, with a key of nobody")
		for _, key := range []string{"", "key-of-nobody", "KEY-AIRLINE"} {
			for _, r := range []simulation.Request{lookup(), report(), hazard(), bulletin(2000, 2)} {
				res := do(keyed(unservable(r), key, forged))
				f.Check(res.Status, qt.Equals, http.StatusUnauthorized,
					qt.Commentf("%s with the key %q: %v", r.Path, key, res.Err))
			}
		}
	}
	twice := unservable(lookup())
	twice.Header = http.Header{"Authorization": {"Bearer " + keys[0], "Bearer " + keys[0]}}
	f.Check(do(twice).Status, qt.Equals, http.StatusUnauthorized)
	long := do(keyed(unservable(lookup()), strings.Repeat("k", 64<<10), nil))
	f.Logf("a key of 64 KB: status %d, %v", long.Status, long.Err)
	f.Check(long.Status/100 == 4 || long.Status == 0, qt.IsTrue, qt.Commentf("a key of 64 KB: %d", long.Status))
}

// TestAPIKeysAreNotForwarded guards against the failure UNASKED of the shared deployments: proxies forwarded the API
// key of each request to a backend and named no tenant. Clients send requests of all kinds with keys, without keys, and
// with a forged tenant to both proxies, also while backends fail and cut their answers, so that requests are retried
// and streams resumed. A key also moves from one tenant to another.
func TestAPIKeysAreNotForwarded(t *testing.T) {
	f := newFleet(t, fleetOptions{bounds: map[string]any{"retry_extra": 400}})
	f.tenants = map[string][]string{
		"key-airline":   {"airline"},
		"key-airline-2": {"airline"},
		"key-ferry":     {"ferry"},
		"key-moves":     {"airline", "ferry"},
	}
	f.replaceAccounts("key-airline",
		account("airline", "key-airline", "key-airline-2", "key-moves"), account("ferry", "key-ferry"), account("idle"))
	for i := range f.edge {
		f.playKeys(i, "key-airline", "key-airline-2", "key-ferry", "key-moves")
	}
	for _, fault := range []simulation.Faults{{Fail: 500}, {LoseAnswer: true}, {CutAfter: 2}} {
		for _, e := range f.engines() {
			e.SetFaults(fault)
		}
		for i := range f.edge {
			for range 2 {
				for _, r := range []simulation.Request{lookup(), bulletin(40_000, 6), bulletin(220, 6), hazard()} {
					f.clients[i].Do(f.ctx, keyed(r, "key-ferry", http.Header{"X-Molepaddle-Tenant": {"airline"}}))
				}
			}
		}
	}
	for _, e := range f.engines() {
		e.SetFaults(simulation.Faults{})
	}
	f.replaceAccounts("key-airline",
		account("airline", "key-airline", "key-airline-2"), account("ferry", "key-ferry", "key-moves"))
	served := func() bool {
		r := f.clients[0].Do(f.ctx, keyed(bulletin(2000, 2), "key-moves", nil))
		return r.OK()
	}
	f.eventually(testTimeout, "streams are served again", served)
	for i := range f.edge {
		f.checkServed(f.clients[i].Do(f.ctx, keyed(lookup(), "key-moves", nil)), "the key's new tenant")
	}
	calls := map[string]int{}
	for _, e := range f.engines() {
		for _, en := range e.Log.Entries() {
			if en.Ran {
				calls[fmt.Sprintf("%s, resumed %v", en.Kind, en.Header.Get("Last-Event-Id") != "")]++
			}
		}
	}
	t.Logf("ran: %v", calls)
	f.Check(calls["prefill, resumed false"] > 0, qt.IsTrue)
	f.Check(calls["request, resumed true"] > 0, qt.IsTrue)
	f.checkRules()
}
