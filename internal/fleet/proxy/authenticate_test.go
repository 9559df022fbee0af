package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/fleet/simulation"
)

// Bounds for the tests of API keys.
const (
	testRevoke = 5 * time.Second
	testApply  = 2500 * time.Millisecond
)

// strictSettings returns the settings of a proxy that enforces the revocation bound.
func strictSettings() settings.Settings {
	set := testSettings(testZones)
	set.Bounds.StrictRevoke = true
	set.Bounds.Revoke = testRevoke
	set.Bounds.Apply = testApply
	return set
}

// newStrictProxy returns a proxy without a listener and without a configuration.
func newStrictProxy(tb testing.TB) *Proxy {
	ctx, cancel := context.WithCancel(context.Background())
	p := New(ctx, strictSettings(), zap.NewNop())
	tb.Cleanup(func() {
		cancel()
		p.background.Wait()
		p.pool.Close()
	})
	return p
}

// accountsDocument returns a configuration in which the account "lab" has the given keys.
func accountsDocument(version int, keys ...string) []byte {
	list := ""
	for i, key := range keys {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf("%q", key)
	}
	return fmt.Appendf(nil, `{"ver":%d,"routing":[`+
		`{"name":"keyed","hostname":"h","pfx":"/keyed/","kind":"readonly","deadline_ms":3000,"svc":"obs","tries":2},`+
		`{"name":"open","hostname":"h","pfx":"/open/","kind":"readonly","deadline_ms":3000,"svc":"obs","tries":2,`+
		`"public":true}],"svcs":[{"name":"obs","probe":"/healthz"}],"accounts":[{"name":"lab","apikeys":[%s]}]}`,
		version, list)
}

// configResponse returns a node agent's response with a complete configuration, if doc is not nil. age is the time
// since the last contact with the control plane; below 0: none.
func configResponse(version int, age time.Duration, doc []byte) *distribution.Response {
	response := &distribution.Response{LastContactMs: age.Milliseconds()}
	if doc != nil {
		response.Resources = []distribution.Resource{{
			Type:     distribution.ConfigType,
			Version:  distribution.Version{Count: uint64(version)},
			Snapshot: doc,
		}}
	}
	return response
}

// keyedRequest returns a request with a key; without one if key is empty.
func keyedRequest(path, key string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "h"
	if key != "" {
		r.Header.Set(externalapi.HeaderAuthorization, bearerScheme+" "+key)
	}
	r.Header.Set(externalapi.HeaderTenant, "someone")
	r.Header.Set(externalapi.HeaderAttemptID, "a1")
	return r
}

// admitStatus returns the status with which a proxy rejects a request that arrived at a time, or 200 if it admits it.
func admitStatus(p *Proxy, r *http.Request, arrivedAt time.Time) int {
	_, err := p.admit(httptest.NewRecorder(), r, arrivedAt)
	var rejected *rejection
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &rejected):
		return rejected.status
	}
	return http.StatusInternalServerError
}

// TestAuthenticate: a key is accepted while the configuration was confirmed as the newest less than revoke_ms ago, less
// the margin; an unknown key is rejected with 401 only while no key can have been added more than apply_ms ago.
func TestAuthenticate(t *testing.T) {
	const (
		limit   = testRevoke - revokeMargin
		none    = http.StatusOK
		unknown = http.StatusUnauthorized
		later   = http.StatusServiceUnavailable
	)
	for _, tc := range []struct {
		name, path, key string
		age             time.Duration // of the confirmation when the request arrives; below 0: no confirmation
		lenient         bool          // strict_revoke is false
		want            int
		tenant          string
	}{
		{"a key just confirmed", "/keyed/x", "k1", 0, false, none, "lab"},
		{"a key at the limit", "/keyed/x", "k1", limit, false, none, "lab"},
		{"a key past the limit", "/keyed/x", "k1", limit + 1, false, later, ""},
		{"a key never confirmed", "/keyed/x", "k1", -1, false, later, ""},
		{"a key past the limit, not strict", "/keyed/x", "k1", limit + 1, true, none, "lab"},
		{"a key never confirmed, not strict", "/keyed/x", "k1", -1, true, none, "lab"},
		{"an unknown key just confirmed", "/keyed/x", "k2", 0, false, unknown, ""},
		{"an unknown key at apply_ms", "/keyed/x", "k2", testApply, false, unknown, ""},
		{"an unknown key past apply_ms", "/keyed/x", "k2", testApply + 1, false, later, ""},
		{"an unknown key past apply_ms, not strict", "/keyed/x", "k2", testApply + 1, true, later, ""},
		{"no key", "/keyed/x", "", 0, false, unknown, ""},
		{"no key, past the limit", "/keyed/x", "", limit + 1, false, later, ""},
		{"a public route without a key", "/open/x", "", limit + 1, false, none, ""},
		{"a public route without a key, never confirmed", "/open/x", "", -1, false, none, ""},
		{"a public route with a key", "/open/x", "k1", 0, false, none, "lab"},
		{"a public route with an unknown key", "/open/x", "k2", 0, false, none, ""},
		{"a public route with a key past the limit", "/open/x", "k1", limit + 1, false, later, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			p := newStrictProxy(t)
			p.settings.Bounds.StrictRevoke = !tc.lenient
			p.ready.Store(true)
			p.apply(configResponse(1, -time.Millisecond, accountsDocument(1, "k1")), time.Now())
			confirmed := time.Now()
			if tc.age >= 0 {
				p.apply(configResponse(1, 0, nil), confirmed)
			}
			r := keyedRequest(tc.path, tc.key)
			c.Assert(admitStatus(p, r, confirmed.Add(max(tc.age, 0))), qt.Equals, tc.want)
			c.Check(r.Header[externalapi.HeaderAuthorization], qt.IsNil, qt.Commentf("backends see no key"))
			if tc.want == none {
				cr, err := p.admit(httptest.NewRecorder(), keyedRequest(tc.path, tc.key), confirmed.Add(max(tc.age, 0)))
				c.Assert(err, qt.IsNil)
				got := ""
				if cr.account != nil {
					got = cr.account.Name
				}
				c.Check(got, qt.Equals, tc.tenant)
			}
		})
	}
}

// TestNoConfigurationYet: a proxy without a configuration answers every request with 503, whatever its key, even if the
// control plane is in contact.
func TestNoConfigurationYet(t *testing.T) {
	p := newStrictProxy(t)
	p.ready.Store(true) // no wait
	for _, key := range []string{"", "k1"} {
		qt.Check(t, admitStatus(p, keyedRequest("/keyed/x", key), time.Now()), qt.Equals, http.StatusServiceUnavailable)
	}
	p.apply(configResponse(0, 0, nil), time.Now())
	qt.Check(t, p.confirmedAt().IsZero(), qt.IsTrue, qt.Commentf("there is nothing to confirm"))
	qt.Check(t, admitStatus(p, keyedRequest("/keyed/x", "k1"), time.Now()), qt.Equals, http.StatusServiceUnavailable)
}

// TestConfirmationNeedsTheConfiguration: a response confirms the configuration in force only if all configuration
// updates in it were applied, and never makes a confirmation older.
func TestConfirmationNeedsTheConfiguration(t *testing.T) {
	change := distribution.Resource{
		Type:        distribution.ConfigType,
		Version:     distribution.Version{Count: 8},
		BaseVersion: distribution.Version{Count: 7},
		Changes:     []distribution.Change{{Version: distribution.Version{Count: 8}, Replace: true, Body: accountsDocument(8)}},
	}
	for _, tc := range []struct {
		name     string
		response *distribution.Response
		want     bool
	}{
		{"nothing new", configResponse(3, 0, nil), true},
		{"a newer configuration", configResponse(4, 0, accountsDocument(4)), true},
		{"an older configuration", configResponse(2, 0, accountsDocument(2)), true},
		{"a malformed configuration", configResponse(4, 0, []byte(`{"ver":4`)), false},
		{"an invalid configuration", configResponse(4, 0, []byte(`{"ver":4,"routing":[{"name":"r"}]}`)), false},
		{"changes to an unknown base version", &distribution.Response{Resources: []distribution.Resource{change}}, false},
		{"no contact", configResponse(3, -time.Millisecond, nil), false},
		{"older contact", configResponse(3, time.Hour, nil), false},
	} {
		c := qt.New(t)
		p := newStrictProxy(t)
		first := time.Now()
		p.apply(configResponse(3, 0, accountsDocument(3, "k1")), first)
		c.Assert(p.confirmedAt(), qt.Equals, first)
		next := first.Add(time.Second)
		p.apply(tc.response, next)
		c.Check(p.confirmedAt().Equal(next), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
		c.Check(p.confirmedAt().Before(first), qt.IsFalse, qt.Commentf("%s", tc.name))
		if tc.want {
			continue
		}
		// The rejected update is requested again, and the configuration that then arrives is confirmed with it.
		_, had := p.versions[distribution.ConfigType]
		c.Check(had, qt.Equals, tc.response.Resources == nil, qt.Commentf("%s", tc.name))
		last := next.Add(time.Second)
		p.apply(configResponse(9, 0, accountsDocument(9)), last)
		c.Check(p.confirmedAt(), qt.Equals, last, qt.Commentf("%s", tc.name))
	}
}

// TestConfirmationIsReadBeforeTheSnapshot: requests arrive while a configuration that revokes a key is applied and
// confirmed. Each sees the old configuration with its old confirmation, or the new one, but never the old configuration
// with the new confirmation. The times are artificial: 10 s between two confirmations.
func TestConfirmationIsReadBeforeTheSnapshot(t *testing.T) {
	const rounds, clients, step = 400, 4, 10 * time.Second
	p := newStrictProxy(t)
	p.ready.Store(true)
	at := time.Now()
	for round := range rounds {
		p.apply(configResponse(2*round+1, 0, accountsDocument(2*round+1, "k1")), at)
		next := at.Add(step)
		var asking sync.WaitGroup
		served := make(chan int, clients)
		var began sync.WaitGroup
		began.Add(clients)
		for range clients {
			asking.Go(func() {
				began.Done()
				for {
					switch admitStatus(p, keyedRequest("/keyed/x", "k1"), next) {
					case http.StatusOK:
						served <- round
						return
					case http.StatusUnauthorized:
						return
					}
				}
			})
		}
		began.Wait()
		p.apply(configResponse(2*round+2, 0, accountsDocument(2*round+2)), next)
		asking.Wait()
		select {
		case round := <-served:
			t.Fatalf("round %d: a request was admitted with a revoked key", round)
		default:
		}
		at = next
	}
}

// TestClockIsReadAfterTheHead: a request whose head arrives in two parts counts as arrived at its end. Between the two
// parts the confirmation expires; that the connection was accepted, and the head started, before does not matter.
func TestClockIsReadAfterTheHead(t *testing.T) {
	c := qt.New(t)
	const left = 300 * time.Millisecond // of the confirmation as the connection is opened
	r := newRig(t, simulation.EngineSettings{Service: "obs", Capacity: 4, Zone: "e1", Region: "east"})
	bounds := &r.proxy.settings.Bounds
	bounds.StrictRevoke, bounds.Revoke, bounds.Apply = true, testRevoke, testApply
	confirmed := time.Now().Add(left + revokeMargin - testRevoke)
	r.proxy.apply(configResponse(1, 0, accountsDocument(1, "k1")), confirmed)
	ask := func(pause time.Duration) int {
		conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = fmt.Fprint(conn, "GET /keyed/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n")
		c.Assert(err, qt.IsNil)
		time.Sleep(pause)
		_, err = fmt.Fprintf(conn, "%s: a%d\r\n\r\n", externalapi.HeaderAttemptID, pause)
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		return response.StatusCode
	}
	c.Check(ask(0), qt.Equals, http.StatusOK)
	c.Check(ask(left), qt.Equals, http.StatusServiceUnavailable)
}
