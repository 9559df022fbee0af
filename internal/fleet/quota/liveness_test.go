package quota

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var livenessSeeds = flag.Int("quota.liveness", 5, "how many seeds TestModelLiveness plays")

// faultFreeModel returns a fleet without faults, at half of each tenant's quota, some time after its start.
func faultFreeModel(seed uint64, holders int) *model {
	limits := Limits{}
	for tenant, total := range map[string]int{"small": 20, "middle": 100, "large": 1000} {
		limits[tenant] = Slots{Total: total, Normal: int(normalShare * float64(total))}
	}
	m := newModel(seed, holders, limits, false)
	for _, tenant := range m.names {
		m.demand[tenant].interval = 2 * modelRule.Window / time.Duration(limits[tenant].Total)
		m.demand[tenant].home = m.rng.Perm(holders)
	}
	m.runUntil(40 * time.Second)
	return m
}

// refusedIn runs the model for d and returns the fraction of requests that are rejected.
func (m *model) refusedIn(d time.Duration) float64 {
	before := m.stats
	m.runUntil(m.now + d)
	return float64(m.stats.refused-before.refused) / float64(m.stats.requests-before.requests)
}

// TestModelLiveness checks the fraction of requests rejected at half of the quota, spread evenly over all holders: none
// without faults, and at most the stated limit after each fault. The limits are slightly above the maximum of 40 seeds.
func TestModelLiveness(t *testing.T) {
	takeOver := func(m *model) { m.takeOver(time.Second) }
	away := func(d time.Duration) func(m *model) {
		return func(m *model) {
			for _, h := range m.holders {
				h.cutUntil = m.now + d
			}
			m.after(d, func() { m.takeOver(200 * time.Millisecond) })
		}
	}
	restart := func(m *model) {
		for _, h := range m.holders {
			m.kill(h, m.upTo(time.Second))
		}
	}
	for _, test := range []struct {
		name   string
		fault  func(m *model)
		within time.Duration
		most   float64
	}{
		{"no faults", func(*model) {}, 20 * time.Second, 0},
		{"takeover", takeOver, 15 * time.Second, 0.06},
		{"all holders restarted", restart, 15 * time.Second, 0.1},
		{"everything restarted", func(m *model) { restart(m); takeOver(m) }, 15 * time.Second, 0.75},
		{"no allocator for 2 s", away(2 * time.Second), 15 * time.Second, 0.15},
		{"no allocator for 4 s", away(4 * time.Second), 15 * time.Second, 0.38},
		{"no allocator for 6 s", away(6 * time.Second), 15 * time.Second, 0.72},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, holders := range []int{4, 20, 74} {
				least, sum, most := 1.0, 0.0, 0.0
				for seed := range uint64(*livenessSeeds) {
					m := faultFreeModel(seed, holders)
					test.fault(m)
					refused := m.refusedIn(test.within)
					least, sum, most = min(least, refused), sum+refused, max(most, refused)
					m.runUntil(m.now + 15*time.Second)
					qt.Check(t, m.refusedIn(10*time.Second), qt.Equals, 0.0, qt.Commentf("%d holders, later", holders))
					qt.Assert(t, m.breach, qt.Equals, "")
				}
				t.Logf("%d holders: refused within %v: %.3f, %.3f to %.3f",
					holders, test.within, sum/float64(*livenessSeeds), least, most)
				qt.Check(t, most <= test.most, qt.IsTrue, qt.Commentf("%d holders", holders))
			}
		})
	}
}
