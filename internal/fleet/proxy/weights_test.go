package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/settings"
)

// relistWeights applies a list of the same backends with the given versions of weights by id; 1 if none is given.
func relistWeights(s *service, versions map[string]int64) {
	var list []distribution.Backend
	for id, b := range s.byID {
		entry := b.Backend
		entry.Weights = 1
		if v, ok := versions[id]; ok {
			entry.Weights = v
		}
		list = append(list, entry)
	}
	s.updateEndpoints(list)
}

// TestKVCachesAreDecodedWithTheirWeights: a prompt is decoded with the weights that prefilled it, as long as a backend
// with them is available.
func TestKVCachesAreDecodedWithTheirWeights(t *testing.T) {
	c := qt.New(t)
	s := engineService(64, 2, 4)
	relistWeights(s, map[string]int64{"p1": 2, "d1": 2, "d3": 2})
	seen := map[int64]int{}
	for i := range 200 {
		pl := place(c, s, "k", sharedPrefixPrompt(uint64(i%40), uint64(1000+i)), time.Second)
		if pl.prefill == nil {
			continue
		}
		seen[pl.prefill.Weights]++
		c.Assert(pl.decode.Weights, qt.Equals, pl.prefill.Weights)
	}
	c.Assert(seen[2] > 0, qt.IsTrue)
	only := sharedPrefixPrompt(1, 1)
	from := s.byID["p1"]
	pl, ok := s.selectDecoder(from, false, only, time.Second, map[string]bool{"d1": true, "d3": true}, residency.Terms{})
	c.Assert(ok, qt.IsTrue, qt.Commentf("that backend rejects the request itself"))
	c.Assert(pl.decode.Weights, qt.Equals, int64(1))
}

// TestNewerWeightsFirst: requests go to the newest weights that are listed, to older ones if those have long queues,
// and not to older ones once they are outdated.
func TestNewerWeightsFirst(t *testing.T) {
	c := qt.New(t)
	s := engineService(64, 2, 2)
	s.configureRetries(&settings.Bounds{RetryWindow: time.Second, Version: time.Hour}, 1)
	place := func(i int) *backend {
		pl := place(c, s, "k", sharedPrefixPrompt(uint64(i), uint64(1000+i)), 150*time.Millisecond)
		if pl.prefill != nil {
			s.engines.PrefillStarted(pl.prefill.ID, sharedPrefixPrompt(uint64(i), uint64(1000+i)), false)
		}
		return pl.prefill
	}
	relistWeights(s, nil)
	c.Check(s.hasOlderWeights("p0"), qt.IsFalse)
	relistWeights(s, map[string]int64{"p0": 2, "d0": 2})
	c.Assert(s.hasOlderWeights("p1"), qt.IsTrue)
	c.Assert(place(0).ID, qt.Equals, "p0")
	c.Assert(place(1).ID, qt.Equals, "p0")
	older := 0
	for i := range 60 {
		if b := place(2 + i); b != nil && b.ID == "p1" {
			older++
		}
	}
	c.Assert(older > 0, qt.IsTrue, qt.Commentf("a late response has less value, too"))
	c.Check(s.weightsAge(s.now(), "d1"), qt.Equals, olderWeights)
	s.weights.since = 1
	s.weightsBoundMs = 1e-6
	c.Assert(s.weights.outdated(2, s.weightsBoundMs), qt.IsTrue)
	c.Check(s.weightsAge(2, "p1"), qt.Equals, outdatedWeights)
	c.Check(s.weightsAge(2, "p0"), qt.Equals, newestWeights)
	s.weightsBoundMs = 0
	c.Check(s.weightsAge(2, "p1"), qt.Equals, olderWeights, qt.Commentf("without a bound"))
	c.Check(weightsPenalties[outdatedWeights] > unavailablePenalty, qt.IsTrue)
	c.Check(weightsClasses[outdatedWeights] > unavailableClass, qt.IsTrue)
}

// TestInitialWeightsAreNotOutdated: the first listed version does not count as newer than another.
func TestInitialWeightsAreNotOutdated(t *testing.T) {
	c := qt.New(t)
	var w listedWeights
	w.observe(100, 3)
	c.Check(w.outdated(1e9, 1), qt.IsFalse)
	w.observe(200, 4)
	c.Check(w.outdated(201, 1), qt.IsFalse)
	c.Check(w.outdated(202, 1), qt.IsTrue)
	w.observe(300, 3)
	c.Check(w.newest, qt.Equals, int64(3), qt.Commentf("after a roll-back"))
}
