package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRetryBudgetBoundsExtraSends has proxies use their whole budgets under random load: no window has more extra sends
// than the rule allows, a ratio of the requests of that window or the one before it, plus a sum.
func TestRetryBudgetBoundsExtraSends(t *testing.T) {
	const ratio, window = 0.2, 10 * time.Second
	rapid.Check(t, func(r *rapid.T) {
		proxies := rapid.IntRange(1, 80).Draw(r, "proxies")
		extra := float64(rapid.IntRange(40, 200).Draw(r, "extra"))
		start := time.Unix(0, 0)
		all := make([]retryBudget, proxies)
		for i := range all {
			all[i].configure(start, ratio, extra, window, proxies)
		}
		type tick struct{ asked, sent float64 }
		var ticks []tick // of a tenth of a window
		now := start
		for range 8 {
			rate := rapid.IntRange(0, 40).Draw(r, "requests a tick at a proxy")
			greedy := rapid.Bool().Draw(r, "greedy")
			for range rapid.IntRange(1, 25).Draw(r, "ticks") {
				now = now.Add(window / 10)
				var one tick
				for i := range all {
					for range rate {
						all[i].addRequest(now)
						one.asked++
						if greedy && all[i].take(now, 1) {
							one.sent++
						}
					}
				}
				ticks = append(ticks, one)
			}
		}
		sum := func(from, to int) (t tick) {
			for _, one := range ticks[max(from, 0):max(to, 0)] {
				t.asked += one.asked
				t.sent += one.sent
			}
			return t
		}
		for end := range ticks {
			here := sum(end-9, end+1)
			asked := max(here.asked, sum(end-19, end-9).asked, sum(end-14, end-4).asked)
			if here.sent > ratio*asked+extra {
				r.Fatalf("%v further sends in a window of %v requests, %v allowed", here.sent, asked, ratio*asked+extra)
			}
		}
	})
}

// TestRetryBudgetCoversAStagedPrompt guards against a budget with eighty proxies that could never save more than one
// send at each: a separately prefilled prompt whose decode backend failed takes two, and was never retried.
func TestRetryBudgetCoversAStagedPrompt(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	var a retryBudget
	a.configure(now, 0.2, 202, 10*time.Second, 81)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		a.addRequest(now)
	}
	c.Assert(a.take(now, 2), qt.IsTrue)
	c.Assert(a.take(now, 2), qt.IsTrue)
	// Saved tokens expire with the requests that added them.
	now = now.Add(time.Minute)
	c.Assert(a.available(now, 1), qt.IsTrue)
	c.Assert(a.available(now, 2), qt.IsFalse)
}
