package nodeagent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/settings"
)

// TestDirectlyPolledListIsKept: while an agent polls the platform itself, the list of a partitioned control server
// doesn't replace the polled one; the list of a control server that is connected to the primary does.
func TestDirectlyPolledListIsKept(t *testing.T) {
	c := qt.New(t)
	platform := startPlatform(c)
	set := settings.Settings{
		NodeName: "edge-1",
		Zone:     "z",
		Provider: settings.Provider{Address: platform, Rate: 42},
	}
	a := New(set, zap.NewNop())
	snapshot, err := (&distribution.BackendList{
		Backends: []distribution.Backend{{ID: "pulled", Service: "s"}},
	}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	cachedID := func() string { return cachedBackend(c, a) }
	response := func(age time.Duration, resources ...distribution.Resource) *distribution.Response {
		return &distribution.Response{LastContactMs: age.Milliseconds(), Primary: "p", Resources: resources}
	}
	list := distribution.Resource{
		Type:        distribution.BackendListType,
		Version:     distribution.Version{Epoch: 5, Count: 1},
		BaseVersion: distribution.Version{Epoch: 5, Count: 1},
		Snapshot:    snapshot,
	}
	a.applyResponse(response(time.Hour, list), time.Now())
	c.Assert(cachedID(), qt.Equals, "pulled", qt.Commentf("a list is better than none"))
	poll := func() {
		a.nextPoll = time.Time{}
		a.pollDirectly(c.Context())
	}
	poll()
	c.Assert(cachedID(), qt.Equals, "polled")
	for range 2 {
		_, had := a.versionVector()[distribution.BackendListType]
		c.Assert(had, qt.IsFalse, qt.Commentf("the control server's list must be sent again"))
		a.applyResponse(response(time.Hour, list), time.Now())
		_, had = a.versionVector()[distribution.BackendListType]
		c.Assert(had, qt.IsTrue, qt.Commentf("the list is requested repeatedly"))
		c.Assert(cachedID(), qt.Equals, "polled", qt.Commentf("no contact with the primary since the poll"))
		poll()
		c.Assert(cachedID(), qt.Equals, "polled")
		a.applyResponse(response(0), time.Now())
		c.Assert(cachedID(), qt.Equals, "pulled", qt.Commentf("the control server is connected: its list is newer"))
		poll()
		c.Assert(cachedID(), qt.Equals, "polled", qt.Commentf("a list that was polled before replaces it again"))
	}
}

// startPlatform starts a fake platform, whose list has one backend, and returns its host:port.
func startPlatform(c *qt.C) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"backends":[{"id":"polled","svc":"s","address":"127.0.0.1:9","az":"z","ver":"v1",`+
			`"capacity":4,"state":"up","warm_left_ms":0}],"next_marker":null}`)
	}))
	c.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// cachedBackend returns the id of the only backend in the cached list; empty if there is no list.
func cachedBackend(c *qt.C, a *Agent) string {
	c.Helper()
	r := a.cache.Fetch(c.Context(), "n", &distribution.Request{})
	for _, resource := range r.Resources {
		if resource.Type == distribution.BackendListType {
			var list distribution.BackendList
			_, err := list.UnmarshalMsg(resource.Snapshot)
			c.Assert(err, qt.IsNil)
			c.Assert(list.Backends, qt.HasLen, 1)
			return list.Backends[0].ID
		}
	}
	return ""
}
