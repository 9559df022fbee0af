package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/simulation"
)

// accountBounds returns the bnds of the tests of keys and quotas, set over those of all fleets.
func accountBounds() map[string]any {
	return map[string]any{
		"contact_ms":    2000, // also the lease of a proxy's slots
		"strict_revoke": true,
		"revoke_ms":     4000,
		"quota_win_s":   2,
		"quota_excess":  0.1,
		"quota_extra":   20,
	}
}

// accountItems returns accounts as the operator sends them, each with the newest of its limits.
func accountItems(accounts ...simulation.Account) list {
	items := list{}
	for _, a := range accounts {
		item := object{"name": a.Name, "apikeys": a.Keys}
		if n := len(a.Limits); n > 0 {
			item["rate_s"], item["burst"] = a.Limits[n-1].Rate, a.Limits[n-1].Burst
		}
		items = append(items, item)
	}
	return items
}

// updateAccounts changes accounts on top of the newest configuration and returns the time of the acknowledgement. The
// caller has to inform the judge of the change.
func (f *fleet) updateAccounts(accounts ...simulation.Account) time.Time {
	f.Helper()
	doc := object{"ver": f.version + 1, "upsert": object{"accounts": accountItems(accounts...)}}
	rep, err := f.operator.Update(f.withTimeout(testTimeout), f.version, doc)
	f.Assert(err, qt.IsNil)
	f.Assert(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.Body))
	f.version = rep.Version
	return rep.At
}

// withKey returns a lookup with an API key, or without one if key is empty.
func withKey(key string) simulation.Request {
	r := lookup()
	r.Key = key
	return r
}

// awaitStatus waits until an edge machine answers a request with a status, at most until a time.
func (f *fleet) awaitStatus(edge int, r simulation.Request, status int, by time.Time) {
	f.Helper()
	f.eventually(max(time.Until(by), time.Millisecond), fmt.Sprintf("status %d for the key %q", status, r.Key),
		func() bool { return f.clients[edge].Do(f.ctx, r).Status == status })
}

// arrivalsOf returns the log entries of an attempt at backends.
func (f *fleet) arrivalsOf(attempt string) (out []simulation.Entry) {
	for _, e := range f.engines() {
		for _, en := range e.Log.Entries() {
			if en.Attempt == attempt {
				out = append(out, en)
			}
		}
	}
	return out
}

// keyedFleet starts a fleet with two accounts and a public route.
func keyedFleet(t *testing.T) *fleet {
	return newFleet(t, fleetOptions{
		bounds: accountBounds(),
		accounts: []simulation.Account{
			{Name: "airline", Keys: []string{"key-a"}},
			{Name: "ferry", Keys: []string{"key-f"}},
		},
		public: []string{"r-report"},
	})
}

// TestUnknownKeysNeverRun sends requests of all kinds with keys that no configuration ever had, without a key, and with
// a malformed one: none of them runs, and each is answered 401. With a known key they are served. The same holds at a
// proxy that has just started and has no configuration at first.
func TestUnknownKeysNeverRun(t *testing.T) {
	f := keyedFleet(t)
	f.checkKeysAtEdges("key-a", "airline")
	f.checkPublicRoute("key-f", "ferry")

	m := f.edge[0]
	m.kill("proxy")
	stop := f.sendUnknownKeys(0)
	m.start("proxy")
	f.awaitReady(m)
	f.awaitStatus(0, withKey("key-a"), http.StatusOK, time.Now().Add(testTimeout))
	stop()
	statuses := map[int]int{}
	for _, r := range f.clients[0].Results() {
		if r.Key == "never-held" && !r.Public {
			statuses[r.Status]++
			f.Check(r.Status/100, qt.Not(qt.Equals), 2)
		}
	}
	f.Check(statuses[http.StatusUnauthorized] > 0, qt.IsTrue)
	t.Logf("answers to keys that no configuration held, by status: %v", statuses)
	f.checkRules()
}

// TestKeysChange adds and revokes keys: added ones are served and revoked ones answered 401, at the latest after the
// bound.
func TestKeysChange(t *testing.T) {
	f := keyedFleet(t)
	f.accounts[0].Keys = append(f.accounts[0].Keys, "key-b")
	f.accounts[1].Keys = append(f.accounts[1].Keys, "key-g")
	by := f.updateAccounts(simulation.Account{Name: "airline", Keys: []string{"key-b"}},
		simulation.Account{Name: "ferry", Keys: []string{"key-f", "key-g"}}).Add(f.bound("apply_ms", time.Millisecond))
	for i := range f.edge {
		f.awaitStatus(i, withKey("key-b"), http.StatusOK, by)
		f.awaitStatus(i, withKey("key-g"), http.StatusOK, by)
		f.awaitStatus(i, withKey("key-a"), http.StatusUnauthorized, by)
		f.checkServed(f.clients[i].Do(f.ctx, withKey("key-f")), "a key that stays")
	}
	f.checkKeysAtEdges("key-b", "airline")
	f.checkRules()
}

// checkKeysAtEdges sends requests of all kinds with a known key and with unknown ones to both proxies.
func (f *fleet) checkKeysAtEdges(key, tenant string) {
	f.Helper()
	for i, cl := range f.clients {
		for _, r := range []simulation.Request{lookup(), hazard(), bulletin(2000, 2), bulletin(40_000, 2)} {
			for _, wrong := range []string{"", "never-held", key + "x", "Bearer " + key, "sha256"} {
				r.Key = wrong
				res := cl.Do(f.ctx, r)
				f.Check(res.Status, qt.Equals, http.StatusUnauthorized, qt.Commentf("edge %d, key %q", i+1, wrong))
				f.Check(f.arrivalsOf(res.Attempt), qt.HasLen, 0)
			}
			r.Key = key
			r.Header = http.Header{simulation.HeaderTenant: {"another"}}
			res := cl.Do(f.ctx, r)
			f.checkServed(res, "with its key")
			f.checkTenantHeader(res, tenant)
		}
	}
}

// checkTenantHeader asserts that backends received the name of a tenant, or none if it is empty, and never the key.
func (f *fleet) checkTenantHeader(res simulation.Result, tenant string) {
	f.Helper()
	arrivals := f.arrivalsOf(res.Attempt)
	f.Check(len(arrivals) > 0, qt.IsTrue)
	var want []string
	if tenant != "" {
		want = []string{tenant}
	}
	for _, en := range arrivals {
		f.Check(slices.Equal(en.Header.Values(simulation.HeaderTenant), want), qt.IsTrue,
			qt.Commentf("%v", en.Header))
		f.Check(en.Header.Values("Authorization"), qt.HasLen, 0)
	}
}

// checkPublicRoute sends requests on the public route with a known key, an unknown one and none: all run, for the
// tenant of the key if there is one.
func (f *fleet) checkPublicRoute(key, tenant string) {
	f.Helper()
	for i, cl := range f.clients {
		for sent, told := range map[string]string{key: tenant, "never-held": "", "": ""} {
			r := report()
			r.Key, r.Public = sent, true
			r.Header = http.Header{simulation.HeaderTenant: {"another"}}
			res := cl.Do(f.ctx, r)
			f.checkServed(res, fmt.Sprintf("edge %d, public, key %q", i+1, sent))
			f.checkTenantHeader(res, told)
		}
	}
}

// sendUnknownKeys sends requests with a key that no configuration had to an edge machine, one after the other, until
// the returned function is called.
func (f *fleet) sendUnknownKeys(edge int) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.Cleanup(cancel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(2 * time.Millisecond)
		defer tick.Stop()
		for ctx.Err() == nil {
			f.clients[edge].Do(f.ctx, withKey("never-held"))
			<-tick.C
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
