package outlier

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

func anyBackend(string) bool { return true }

// mean replaces the random numbers by their mean, 1.
func mean() float64 { return 1 }

// TestEjectionExpires checks that an ejection that isn't renewed expires, since the control plane may be unavailable.
func TestEjectionExpires(t *testing.T) {
	c := qt.New(t)
	trials := NewTrials(mean)
	all := []distribution.Ejection{{Backend: "a"}, {Backend: "b", Zone: "there"}, {Backend: "gone"}}
	known := func(id string) bool { return id != "gone" }
	ejected, restored := trials.SetEjections(0, all, "here", ProxyCount{All: 2, InZone: 1}, known)
	c.Assert(ejected, qt.DeepEquals, []string{"a"})
	c.Assert(restored, qt.HasLen, 0)
	c.Assert(trials.Ejected(ejectionTTLMs-1, "a"), qt.IsTrue)
	c.Assert(trials.Ejected(ejectionTTLMs, "a"), qt.IsFalse)
	c.Assert(trials.NextTrial(1e9, Risk{Idempotent: true}, anyBackend), qt.Equals, "")
	_, restored = trials.SetEjections(ejectionTTLMs, nil, "here", ProxyCount{All: 2, InZone: 1}, anyBackend)
	c.Assert(restored, qt.DeepEquals, []string{"a"})
}

// TestTrialsAreRare checks that all proxies together make about one trial per interval, whatever their number.
func TestTrialsAreRare(t *testing.T) {
	c := qt.New(t)
	for _, proxies := range []int{1, 10, 100} {
		random := rand.New(rand.NewPCG(uint64(proxies), 2))
		count := 0
		const lasts = 300_000
		for range proxies {
			trials := NewTrials(random.ExpFloat64)
			for now := 0.0; now < lasts; now += 50 {
				if int(now)%1000 == 0 {
					count := ProxyCount{All: proxies, InZone: proxies}
					trials.SetEjections(now, []distribution.Ejection{{Backend: "a"}}, "z", count, anyBackend)
				}
				if trials.NextTrial(now, Risk{Idempotent: true}, anyBackend) != "" {
					count++
				}
			}
		}
		const want = lasts / trialIntervalMs
		c.Assert(count > want*7/10 && count < want*13/10, qt.IsTrue,
			qt.Commentf("%d proxies made %d trials", proxies, count))
	}
}

// TestRiskOfTrials checks that requests for which a failed trial is costly aren't used while there are others.
func TestRiskOfTrials(t *testing.T) {
	c := qt.New(t)
	const due, latest = trialIntervalMs + 1, nonIdempotentDelayFactor*trialIntervalMs + 1
	take := func(trials *Trials, now float64, slow bool) {
		ejections := []distribution.Ejection{{Backend: "a", Slow: slow}}
		trials.SetEjections(now, ejections, "z", ProxyCount{All: 1}, anyBackend)
	}
	failing := NewTrials(mean)
	take(failing, 0, false)
	c.Assert(failing.NextTrial(due, Risk{}, anyBackend), qt.Equals, "")
	take(failing, latest-1, false)
	c.Assert(failing.NextTrial(latest, Risk{}, anyBackend), qt.Equals, "a", qt.Commentf("no idempotent request"))
	take(failing, latest, false)
	c.Assert(failing.NextTrial(latest+due, Risk{Idempotent: true}, anyBackend), qt.Equals, "a")
	take(failing, latest+due, false)
	take(failing, 2*latest+due, false)
	c.Assert(failing.NextTrial(2*latest+due, Risk{}, anyBackend), qt.Equals, "",
		qt.Commentf("there was a recent idempotent request"))
	c.Assert(failing.NextTrial(2*latest+due, Risk{Idempotent: true}, func(string) bool { return false }), qt.Equals, "")
	slow := NewTrials(mean)
	take(slow, 0, true)
	c.Assert(slow.NextTrial(due, Risk{Idempotent: true, LongDecode: true}, anyBackend), qt.Equals, "")
	c.Assert(slow.NextTrial(due, Risk{}, anyBackend), qt.Equals, "a")
	take(slow, due, true)
	c.Assert(slow.NextTrial(due+1, Risk{}, anyBackend), qt.Equals, "", qt.Commentf("it has just been tried"))
}
