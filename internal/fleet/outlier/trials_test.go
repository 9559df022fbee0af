package outlier

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

func anyBackend(string) bool { return true }

// mean is a random number that is always 1.
func mean() float64 { return 1 }

// TestEjectionLapses: what isn't heard of again for a while is over, as the control plane may be away.
func TestEjectionLapses(t *testing.T) {
	c := qt.New(t)
	trials := NewTrials(mean)
	all := []distribution.Ejection{{Backend: "a"}, {Backend: "b", Zone: "there"}, {Backend: "gone"}}
	ejected, restored := trials.Take(0, all, "here", Crowd{All: 2, Zone: 1}, func(id string) bool { return id != "gone" })
	c.Assert(ejected, qt.DeepEquals, []string{"a"})
	c.Assert(restored, qt.HasLen, 0)
	c.Assert(trials.Ejected(ejectionLasts-1, "a"), qt.IsTrue)
	c.Assert(trials.Ejected(ejectionLasts, "a"), qt.IsFalse)
	c.Assert(trials.Due(1e9, Risk{Repeatable: true}, anyBackend), qt.Equals, "")
	_, restored = trials.Take(ejectionLasts, nil, "here", Crowd{All: 2, Zone: 1}, anyBackend)
	c.Assert(restored, qt.DeepEquals, []string{"a"})
}

// TestTrialsAreRare: all proxies together make about one trial in the time that is set, however many they are.
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
					trials.Take(now, []distribution.Ejection{{Backend: "a"}}, "z", Crowd{All: proxies, Zone: proxies}, anyBackend)
				}
				if trials.Due(now, Risk{Repeatable: true}, anyBackend) != "" {
					count++
				}
			}
		}
		c.Assert(count > lasts/trialEvery*7/10 && count < lasts/trialEvery*13/10, qt.IsTrue, qt.Commentf("%d proxies made %d trials", proxies, count))
	}
}

// TestRiskOfTrials: requests that would lose much leave trials to others, while there are others.
func TestRiskOfTrials(t *testing.T) {
	c := qt.New(t)
	const due, latest = trialEvery + 1, unrepeatableTrial*trialEvery + 1
	take := func(trials *Trials, now float64, slow bool) {
		trials.Take(now, []distribution.Ejection{{Backend: "a", Slow: slow}}, "z", Crowd{All: 1}, anyBackend)
	}
	failing := NewTrials(mean)
	take(failing, 0, false)
	c.Assert(failing.Due(due, Risk{}, anyBackend), qt.Equals, "")
	take(failing, latest-1, false)
	c.Assert(failing.Due(latest, Risk{}, anyBackend), qt.Equals, "a", qt.Commentf("none came that may be repeated"))
	take(failing, latest, false)
	c.Assert(failing.Due(latest+due, Risk{Repeatable: true}, anyBackend), qt.Equals, "a")
	take(failing, latest+due, false)
	take(failing, 2*latest+due, false)
	c.Assert(failing.Due(2*latest+due, Risk{}, anyBackend), qt.Equals, "", qt.Commentf("one that may be repeated came of late"))
	c.Assert(failing.Due(2*latest+due, Risk{Repeatable: true}, func(string) bool { return false }), qt.Equals, "")
	slow := NewTrials(mean)
	take(slow, 0, true)
	c.Assert(slow.Due(due, Risk{Repeatable: true, Long: true}, anyBackend), qt.Equals, "")
	c.Assert(slow.Due(due, Risk{}, anyBackend), qt.Equals, "a")
	take(slow, due, true)
	c.Assert(slow.Due(due+1, Risk{}, anyBackend), qt.Equals, "", qt.Commentf("it has just been tried"))
}
