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

// TestOutliersArePublished: what proxies tell of a backend that fails leads to its ejection, which is sent again
// every second while it stands, and to an end of it once trials succeed; nothing is sent while there is nothing to
// say.
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
	tell := func(failed int) {
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
	published := func() (distribution.Version, []distribution.Ejection) {
		for _, r := range server.cache.Fetch(c.Context(), "n", &distribution.Request{}).Resources {
			var all distribution.Ejections
			_, err := all.UnmarshalMsg(r.Snapshot)
			c.Assert(err, qt.IsNil)
			return r.Version, all.Ejected
		}
		return distribution.Version{}, nil
	}
	step := func(after time.Duration) {
		now = now.Add(after)
		d.step(epoch, now)
	}
	tell(0)
	step(0)
	at, _ := published()
	c.Assert(at, qt.Equals, distribution.Version{})
	tell(4)
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
	tell(0)
	step(2 * ejectionRefresh)
	_, ejected = published()
	c.Assert(ejected, qt.HasLen, 0)
	last, _ := published()
	step(2 * ejectionRefresh)
	again, _ = published()
	c.Assert(again, qt.Equals, last)
}
