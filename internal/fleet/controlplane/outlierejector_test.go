package controlplane

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
)

// reportOutcomes adds reports of eight proxies on the backends of a list: failed is the number of failures out of four
// attempts at the third backend and at draining ones.
func reportOutcomes(server *Server, list *distribution.BackendList, failed int) {
	for p := range 8 {
		all := make([]distribution.Outcome, 0, len(list.Backends))
		for i, b := range list.Backends {
			one := distribution.Outcome{Backend: b.ID, Attempts: 4}
			if i == 2 || b.Draining {
				one.Failed = failed
			}
			all = append(all, one)
		}
		server.cache.Outcomes.Put(distribution.OutcomeReport{Proxy: fmt.Sprint("p", p), Zone: "z", Outcomes: all})
	}
}

// publishedEjections returns the ejections that a server has published; zero values if none.
func publishedEjections(c *qt.C, server *Server) (distribution.Version, []distribution.Ejection) {
	for _, r := range server.cache.Fetch(c.Context(), "n", &distribution.Request{}).Resources {
		var all distribution.Ejections
		_, err := all.UnmarshalMsg(r.Snapshot)
		c.Assert(err, qt.IsNil)
		return r.Version, all.Ejected
	}
	return distribution.Version{}, nil
}

// TestOutliersArePublished checks that reported failures of a backend lead to its ejection, which is published again
// every second while it is active, and to its end once trial requests succeed; and that nothing is published while
// there are no ejections.
func TestOutliersArePublished(t *testing.T) {
	c := qt.New(t)
	server := &Server{cache: distribution.NewCache(), start: time.Now(), log: zap.NewNop()}
	list := &distribution.BackendList{}
	for i := range 6 {
		backend := distribution.Backend{ID: fmt.Sprint("b", i), Service: "s", Phase: externalapi.PhaseDecode}
		list.Backends = append(list.Backends, backend)
	}
	draining := distribution.Backend{ID: "leaves", Service: "s", Phase: externalapi.PhaseDecode, Draining: true}
	list.Backends = append(list.Backends, draining)
	const epoch = 3
	server.lastPoll.Store(&pollStatus{epoch: epoch, list: list})
	d := &outlierEjector{server: server}
	now := time.Now()
	report := func(failed int) { reportOutcomes(server, list, failed) }
	published := func() (distribution.Version, []distribution.Ejection) { return publishedEjections(c, server) }
	step := func(after time.Duration) {
		now = now.Add(after)
		d.step(epoch, now)
	}
	report(0)
	step(0)
	at, _ := published()
	c.Assert(at, qt.Equals, distribution.Version{})
	report(4)
	step(detectionInterval)
	at, ejected := published()
	c.Assert(at, qt.Equals, distribution.Version{Epoch: epoch, Count: 1})
	c.Assert(ejected, qt.DeepEquals, []distribution.Ejection{{Backend: "b2"}})
	step(detectionInterval)
	again, _ := published()
	c.Assert(again, qt.Equals, at)
	step(ejectionRefresh)
	again, _ = published()
	c.Assert(at.Before(again), qt.IsTrue)
	report(0)
	step(2 * ejectionRefresh)
	_, ejected = published()
	c.Assert(ejected, qt.HasLen, 0)
	last, _ := published()
	step(2 * ejectionRefresh)
	again, _ = published()
	c.Assert(again, qt.Equals, last)
}
