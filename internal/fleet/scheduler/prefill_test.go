package scheduler

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func newTestEstimator(t testing.TB, prefill, decode int) *Estimator {
	e := NewEstimator(EngineSpec{Capacity: 8, KVCacheTokens: 1000, KVBytesPerToken: 1000, LinkMbps: 1000})
	var all []Backend
	for i := range prefill {
		all = append(all, Backend{ID: fmt.Sprintf("p%d", i), Zone: "a", Prefill: true})
	}
	for i := range decode {
		all = append(all, Backend{ID: fmt.Sprintf("d%d", i), Zone: "b"})
	}
	e.SetBackends(all)
	return e
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 1, 0)
	a, b := prompt(700, "s:400,a:300"), prompt(600, "s:400,b:200")
	c.Assert(e.PrefillStarted("p0", a, false), qt.Equals, 700)
	c.Assert(e.UncachedTokens("p0", b), qt.Equals, 200, qt.Commentf("the shared segment is cached"))
	c.Assert(e.UncachedTokens("p0", prompt(500, "x:100,s:400")), qt.Equals, 500,
		qt.Commentf("a segment needs the segments before it"))
	e.PrefillStarted("p0", b, false)                          // 900 cached
	e.PrefillStarted("p0", prompt(600, "s:400,c:200"), false) // a's own segment is the least recently used
	c.Assert(e.UncachedTokens("p0", a), qt.Equals, 300)
	c.Assert(e.UncachedTokens("p0", b), qt.Equals, 0)
	e.InvalidateCache("p0", b)
	c.Assert(e.UncachedTokens("p0", b), qt.Equals, 600, qt.Commentf("invalidated segments don't count"))
}

// TestPrefixCacheIsResized checks that a configuration with a smaller or larger KV cache applies to listed backends.
func TestPrefixCacheIsResized(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 1, 0)
	spec := e.spec
	older, newer := prompt(400, "a:400"), prompt(500, "b:500")
	e.PrefillStarted("p0", older, false)
	e.PrefillStarted("p0", newer, false)
	spec.KVCacheTokens = 600
	e.UpdateSpec(spec)
	c.Assert(e.UncachedTokens("p0", older), qt.Equals, 400, qt.Commentf("the least recently used no longer fits"))
	c.Assert(e.UncachedTokens("p0", newer), qt.Equals, 0)
	spec.KVCacheTokens = 2000
	e.UpdateSpec(spec)
	third := prompt(1400, "c:1400")
	e.PrefillStarted("p0", third, false)
	c.Assert(e.UncachedTokens("p0", newer), qt.Equals, 0, qt.Commentf("both fit now"))
	c.Assert(e.UncachedTokens("p0", third), qt.Equals, 0)
}

// Guards against overestimates at the preferred backend: each of many proxies sees few of the prompts that share a
// prefix, and assumed that the backend had to prefill a prefix that it had cached from other proxies' prompts.
func TestPreferredBackendCachesSharedPrefix(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 2, 0)
	p := prompt(900, "s:400,a:200,b:300")
	c.Assert(p.UnsharedTokens(), qt.Equals, 300)
	c.Assert(e.PrefillStarted("p0", p, true), qt.Equals, 300)
	c.Assert(e.PrefillStarted("p1", p, false), qt.Equals, 900)
	c.Assert(e.QueueMs(0, "p0") < e.QueueMs(0, "p1"), qt.IsTrue)
	c.Assert(e.PrefillStarted("p1", p, true), qt.Equals, 0, qt.Commentf("cached segments stay cached"))
	alone := prompt(500, "z:500")
	c.Assert(e.PrefillStarted("p0", alone, true), qt.Equals, 500, qt.Commentf("it shares nothing"))
	odd := prompt(100, "s:400,a:200")
	c.Assert(odd.UnsharedTokens(), qt.Equals, 0)
}

// Guards against wasted prefills: at twice the prefill capacity, queued prompts were abandoned after half of their time
// and prefilled again at another backend. The estimate must include the queue and be corrected by actual durations.
func TestExpectedPrefillFollowsObservations(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 1, 0)
	p := prompt(900, "s:600,a:300")
	one := e.ExpectedPrefillMs(0, "p0", p, true)
	c.Assert(one, qt.Equals, 300*e.prefillMsPerToken)
	c.Assert(e.ExpectedPrefillMs(0, "p0", p, false), qt.Equals, 900*e.prefillMsPerToken)
	for range 10 {
		e.PrefillStarted("p0", prompt(900, "t:900"), false)
	}
	c.Assert(e.ExpectedPrefillMs(0, "p0", p, true) > one, qt.IsTrue)
	e.ObservePrefill(1, 1000)
	c.Assert(e.expectedScale, qt.Equals, 1.0, qt.Commentf("short estimates are not compared"))
	for range 500 {
		e.ObservePrefill(100*e.expectedScale, 250)
	}
	c.Assert(e.expectedScale > 2.4 && e.expectedScale < 2.6, qt.IsTrue, qt.Commentf("%v", e.expectedScale))
	for range 500 {
		e.ObservePrefill(100*e.expectedScale, 1e9)
	}
	c.Assert(e.expectedScale <= maxExpectedScale, qt.IsTrue)
}

// Guards against wrong speeds: the duration of a queued prompt made all backends appear slow, and prompts were sent
// away from their preferred backends.
func TestPrefillSpeedIsLearnedWhenAlone(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 1, 0)
	before := e.prefillMsPerToken
	p, q := prompt(900, "a:900"), prompt(900, "b:900")
	n, m := e.PrefillStarted("p0", p, false), e.PrefillStarted("p0", q, false)
	e.PrefillEnded("p0", n, 5000)
	c.Assert(e.prefillMsPerToken, qt.Equals, before, qt.Commentf("another was in flight"))
	e.RequestEnded("p0")
	e.ObserveResponseLoad(1, "p0", 7, 0)
	e.PrefillEnded("p0", m, 5000)
	c.Assert(e.prefillMsPerToken, qt.Equals, before, qt.Commentf("requests of other proxies were in flight"))
	e.RequestEnded("p0")
	e.ObserveResponseLoad(2, "p0", 1, 0)
	for i := range 200 {
		n := e.PrefillStarted("p0", prompt(900, fmt.Sprint("c", i, ":900")), false)
		e.PrefillEnded("p0", n, 9)
		e.RequestEnded("p0")
	}
	c.Assert(e.prefillMsPerToken > 0.0099 && e.prefillMsPerToken < 0.0101, qt.IsTrue,
		qt.Commentf("%v ms a token", e.prefillMsPerToken))
}
