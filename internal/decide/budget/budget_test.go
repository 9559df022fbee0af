package budget

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

// A budget starts when the request was received and is at most the client's time-out and maxTimeout.
func TestFromCapsTimeout(t *testing.T) {
	came := time.Now()
	for _, c := range []struct{ told, most, want time.Duration }{{ms, time.Second, ms},
		{time.Hour, time.Second, time.Second}, {-ms, time.Second, 0}, {0, time.Second, 0}} {
		if b := From(came, c.told, c.most); b.Deadline.Sub(came) != c.want || b.Received != came {
			t.Errorf("timeout %v, at most %v: got %v", c.told, c.most, b.Deadline.Sub(came))
		}
	}
}

// A hop is granted the time left less the way back, but at least three quarters of it; below a
// millisecond no attempt begins.
func TestNextHop(t *testing.T) {
	for _, c := range []struct {
		left, back, told time.Duration
		ok               bool
	}{{100 * ms, 10 * ms, 90 * ms, true}, {100 * ms, 60 * ms, 75 * ms, true}, {100 * ms, -ms, 100 * ms, true},
		{ms, 0, ms, true},
		{ms, 1, ms - 1, false}, {ms - 1, 0, ms - 1, false}, {0, 0, 0, false}, {-ms, 10 * ms, 0, false},
		{math.MinInt64, ms, 0, false}} {
		if told, ok := NextHop(c.left, c.back); told != c.told || ok != c.ok {
			t.Errorf("%v left, return time %v: granted %v, %v", c.left, c.back, told, ok)
		}
	}
}

// No hop in a chain is granted more than the one before.
func FuzzHop(f *testing.F) {
	f.Add(int64(100*ms), int64(5*ms), int64(16*ms))
	f.Add(int64(math.MaxInt64), int64(math.MinInt64), int64(math.MaxInt64))
	f.Fuzz(func(t *testing.T, left, one, two int64) {
		first, ok := NextHop(time.Duration(left), time.Duration(one))
		if first > max(time.Duration(left), 0) || ok != (first >= MinHopTime) {
			t.Errorf("%v left: granted %v, %v", left, first, ok)
		}
		if second, _ := NextHop(first, time.Duration(two)); second > first || second < 0 {
			t.Errorf("of %v the next hop is granted %v", first, second)
		}
	})
}

// The way back is half of the smoothed round trip with its deviation by RFC 6298, within its bounds,
// and follows changes.
func TestMargin(t *testing.T) {
	var m Margin
	if m.ReturnTime() != minMargin {
		t.Error("return time without samples:", m.ReturnTime())
	}
	m.Observe(20 * ms) // smoothed 20, deviation 10
	if got := m.ReturnTime(); got != 30*ms {
		t.Error("after one trip of 20 ms:", got)
	}
	m.Observe(28 * ms) // deviation 9.5, smoothed 21
	if got := m.ReturnTime(); got != 29500*time.Microsecond {
		t.Error("after another of 28 ms:", got)
	}
	for range 100 {
		m.Observe(20 * ms)
	}
	if got := m.ReturnTime(); got < 10*ms || got > 10200*time.Microsecond {
		t.Error("after steady trips of 20 ms:", got)
	}
	for _, bad := range []time.Duration{0, -ms, time.Hour, math.MinInt64} {
		was := m
		if m.Observe(bad); m != was {
			t.Error("invalid trip changed the margin:", bad)
		}
	}
	for range 50 {
		m.Observe(time.Minute)
	}
	if m.ReturnTime() != maxMargin {
		t.Error("above its bound:", m.ReturnTime())
	}
	for range 500 {
		m.Observe(time.Microsecond)
	}
	if m.ReturnTime() != minMargin {
		t.Error("does not return to its lower bound:", m.ReturnTime())
	}
}

// Latencies move the mean of their class. Hints are used once there are enough samples, and never
// lower the estimate below a quarter of the mean.
func TestLatencyEstimates(t *testing.T) {
	n := NewLatencyEstimates([]float64{40, 100})
	n.ObserveServed(0, 90, 60)
	if n.Mean(0) != 40+classWeight*20 || n.Mean(1) != 100 || n.Expected(1, 0) != 100 || n.Expected(1, 5) != 100 {
		t.Errorf("%+v", n)
	}
	n.ObserveHinted(0, 5)
	n.ObserveHint(0)
	if n.MeanHint != 0 {
		t.Error("a missing hint was counted")
	}
	for i := range 2 * minHintSamples {
		if i == minHintSamples-1 && n.HintedLatency(2) != 0 {
			t.Error("hints are used with too few samples")
		}
		n.ObserveHint(float64(1 + i%4))
		n.ObserveHinted(float64(1+i%4), 10*float64(1+i%4))
	}
	if got := n.Expected(0, 4); math.Abs(got-40) > 0.1 || math.Abs(n.Expected(1, 1)-25) > 1e-9 ||
		n.HintedLatency(0) != 0 || n.MeanHint < 1 || n.MeanHint > 4 {
		t.Errorf("hinted 4: %v, 1: %v, mean hint %v", got, n.Expected(1, 1), n.MeanHint)
	}
}

// The retries of a class are bounded by a fraction of its recent requests plus a few; the second half
// of them is allowed at random. The budget recovers with time, from any clock origin.
func TestRetryBudget(t *testing.T) {
	for _, base := range []float64{0, 1e9, -1e7} {
		r := NewRetryBudget(2)
		for range 1000 {
			r.ObserveRequest(0, base)
		}
		taken := 0
		for r.Acquire(0, base, 0.999) {
			taken++
		}
		if want := (retryFree + retryShare*1000) / 2; float64(taken) < want-1 || float64(taken) > want+2 {
			t.Errorf("%d retries of 1000 requests at the lowest probability, want half of the budget, %v", taken, want)
		}
		for r.Acquire(0, base, 0) {
			taken++
		}
		if want := retryFree + retryShare*1000; float64(taken) < want-1 || float64(taken) > want+1 {
			t.Errorf("%d retries of 1000 requests, want %v", taken, want)
		}
		few := 0
		for r.Acquire(1, base, 0) {
			few++
		}
		if few != int(retryFree) {
			t.Errorf("another class has a budget of %d", few)
		}
		if r.Acquire(0, base, 0) || !r.Acquire(0, base+3*retrySpan, 0.5) {
			t.Error("the budget does not recover with time")
		}
		if r.Acquire(1, base-1, 0) {
			t.Error("a clock that goes back adds to the budget")
		}
	}
}

// Attempts that earn nothing close the throttle; attempts that earn their value and time open it.
func TestThrottle(t *testing.T) {
	for _, base := range []float64{0, 1e9, -1e7} {
		th := NewThrottle(1000)
		for i := 0; th.Open(base); i++ {
			if i > int(freeAttempts) {
				t.Fatal("does not close")
			}
			th.ObserveAttempt(base, 0)
		}
		if !th.Open(base + 5000) {
			t.Error("does not open with time")
		}
		for range 2 {
			th.ObserveAttempt(base, 1)
		}
		if !th.Open(base) {
			t.Error("does not open when attempts earn their value")
		}
	}
}

// However many attempts fail at once, the throttle opens again within a third of its span. Without the
// cap on failures, a whole fleet of agents stayed closed although the servers had recovered.
func TestThrottleReopensAfterManyFailures(t *testing.T) {
	for _, out := range []int{5, 20, 1000} {
		th := NewThrottle(3000)
		for range out {
			th.ObserveAttempt(100, 0)
		}
		if th.Open(101) {
			t.Errorf("%d failures leave it open", out)
		}
		if !th.Open(100 + 1000) {
			t.Errorf("%d failures keep it closed for more than a third of its span", out)
		}
	}
}
